package gateway

import "testing"

// Large responses must not be assumed to get more of the link than their pace permits.
func TestResponseFraction(t *testing.T) {
	for _, c := range []struct{ pace, least, most float64 }{
		{0, .5, .75}, // unpaced: a part of the link remains for small responses
		{.3, .2, .299},
		{DefaultLargeResponseFraction, .5, DefaultLargeResponseFraction - .01},
		{1, .5, .75},
	} {
		if got := responseFraction(c.pace); got < c.least || got > c.most {
			t.Errorf("pace %g: fraction %g of the link", c.pace, got)
		}
	}
}
