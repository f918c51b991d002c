package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// eventsOf returns the output of go test -json for the tests of one package, each given as
// "NAME ACTION".
func eventsOf(results ...string) string {
	var b strings.Builder
	packageResult := "pass"
	for _, result := range results {
		test, action, _ := strings.Cut(result, " ")
		if action == "" {
			continue
		}
		if action == "fail" {
			packageResult = "fail"
		}
		fmt.Fprintf(&b, `{"Action":"output","Package":"m/p","Test":%q,"Output":"--- %s\n"}`+"\n", test, test)
		fmt.Fprintf(&b, `{"Action":%q,"Package":"m/p","Test":%q}`+"\n", action, test)
	}
	fmt.Fprintf(&b, `{"Action":%q,"Package":"m/p"}`+"\n", packageResult)
	return b.String()
}

func TestEvaluate(t *testing.T) {
	for _, c := range []struct {
		name, list, events, wantProblem string
	}{
		{"all pass", "", eventsOf("TestA pass", "TestB pass"), ""},
		{"unlisted test fails", "", eventsOf("TestA pass", "TestB fail"), "p.TestB fails"},
		{"listed test fails", "p.TestB, a fault, 14", eventsOf("TestA pass", "TestB fail"), ""},
		{"subtest of a listed test fails", "p.TestB, a fault, 14", eventsOf("TestB/x fail", "TestB fail"), ""},
		{"listed and unlisted test fail", "p.TestB, a fault, 14", eventsOf("TestA fail", "TestB fail"), "p.TestA fails"},
		{"unlisted test with a listed name as prefix", "p.TestB, a fault, 14", eventsOf("TestBB fail", "TestB fail"), "p.TestBB fails"},
		{"listed test passes", "p.TestB, a fault, 14", eventsOf("TestB pass"), "does not fail (pass)"},
		{"listed test is skipped", "p.TestB, a fault, 14", eventsOf("TestB skip"), "does not fail (skip)"},
		{"listed test does not run", "p.TestB, a fault, 14", eventsOf("TestA pass"), "did not run"},
		{"package that does not build", "", `{"Action":"fail","Package":"m/q"}` + "\n" + eventsOf("TestA pass"), "q fails outside"},
		{"crash in another package than the listed test", "p.TestB, a fault, 14", `{"Action":"fail","Package":"m/q"}` + "\n" + eventsOf("TestB fail"), "q fails outside"},
		{"no test runs", "", "", "no test ran"},
	} {
		list, err := readList(strings.NewReader(c.list))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		problems, err := evaluate("m", list, strings.NewReader(c.events), &out)
		if got := strings.Join(problems, "; "); err != nil || (got == "") != (c.wantProblem == "") || !strings.Contains(got, c.wantProblem) {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, c.wantProblem)
		}
		if c.wantProblem == "" && c.list != "" && !strings.Contains(out.String(), "known red: "+c.list) {
			t.Errorf("%s: printed %q", c.name, out.String())
		}
	}
	if _, err := evaluate("m", nil, strings.NewReader("no events"), io.Discard); err == nil {
		t.Error("invalid input was accepted")
	}
}

func TestReadList(t *testing.T) {
	for text, wantInError := range map[string]string{
		"": "", "# none\n\n": "", "a.T, c, 1\nb.T, c, 1\nc.T, c, 2": "",
		"a.T, c, 1\nb.T, c, 1\nc.T, c, 2\nd.T, c, 2": "at most",
		"a.T, c":               "needed",
		"a.T, , 1":             "empty",
		"a.T, c, 1\na.T, c, 1": "twice",
	} {
		if _, err := readList(strings.NewReader(text)); (err == nil) != (wantInError == "") || err != nil && !strings.Contains(err.Error(), wantInError) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
