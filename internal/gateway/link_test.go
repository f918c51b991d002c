package gateway

import "testing"

// Long answers are never reckoned to get more of the link than their pace lets them have.
func TestAnswersAreReckonedWithinTheirPace(t *testing.T) {
	for _, c := range []struct{ pace, least, most float64 }{
		{0, .5, .75}, // unpaced: what is short needs its part
		{.3, .2, .299},
		{DefaultPace, .5, DefaultPace - .01},
		{1, .5, .75},
	} {
		if got := responseFraction(c.pace); got < c.least || got > c.most {
			t.Errorf("pace %g: %g of the link", c.pace, got)
		}
	}
}
