package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// events are what go test -json says of tests of one package, each with its result.
func events(results ...string) string {
	var b strings.Builder
	all := "pass"
	for _, r := range results {
		test, action, _ := strings.Cut(r, " ")
		if action == "" {
			continue
		}
		if action == "fail" {
			all = "fail"
		}
		fmt.Fprintf(&b, `{"Action":"output","Package":"m/p","Test":%q,"Output":"--- %s\n"}`+"\n", test, test)
		fmt.Fprintf(&b, `{"Action":%q,"Package":"m/p","Test":%q}`+"\n", action, test)
	}
	fmt.Fprintf(&b, `{"Action":%q,"Package":"m/p"}`+"\n", all)
	return b.String()
}

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name, list, events, fault string
	}{
		{"all pass", "", events("TestA pass", "TestB pass"), ""},
		{"one fails", "", events("TestA pass", "TestB fail"), "p.TestB fails"},
		{"a listed one fails", "p.TestB, a fault, 14", events("TestA pass", "TestB fail"), ""},
		{"a listed one fails in a part", "p.TestB, a fault, 14", events("TestB/x fail", "TestB fail"), ""},
		{"another fails too", "p.TestB, a fault, 14", events("TestA fail", "TestB fail"), "p.TestA fails"},
		{"one whose name begins alike", "p.TestB, a fault, 14", events("TestBB fail", "TestB fail"), "p.TestBB fails"},
		{"a listed one passes", "p.TestB, a fault, 14", events("TestB pass"), "does not fail (pass)"},
		{"a listed one is skipped", "p.TestB, a fault, 14", events("TestB skip"), "does not fail (skip)"},
		{"a listed one is missing", "p.TestB, a fault, 14", events("TestA pass"), "did not run"},
		{"a package that does not build", "", `{"Action":"fail","Package":"m/q"}` + "\n" + events("TestA pass"), "q fails outside"},
		{"a crash beside a listed one", "p.TestB, a fault, 14", `{"Action":"fail","Package":"m/q"}` + "\n" + events("TestB fail"), "q fails outside"},
		{"nothing ran", "", "", "no test ran"},
	} {
		list, err := readList(strings.NewReader(c.list))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		faults, err := judge("m", list, strings.NewReader(c.events), &out)
		if got := strings.Join(faults, "; "); err != nil || (got == "") != (c.fault == "") || !strings.Contains(got, c.fault) {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, c.fault)
		}
		if c.fault == "" && c.list != "" && !strings.Contains(out.String(), "known red: "+c.list) {
			t.Errorf("%s: printed %q", c.name, out.String())
		}
	}
	if _, err := judge("m", nil, strings.NewReader("no events"), io.Discard); err == nil {
		t.Error("what go test did not say was read")
	}
}

func TestReadList(t *testing.T) {
	for text, why := range map[string]string{
		"": "", "# none\n\n": "", "a.T, c, 1\nb.T, c, 1\nc.T, c, 2": "",
		"a.T, c, 1\nb.T, c, 1\nc.T, c, 2\nd.T, c, 2": "at most",
		"a.T, c":               "needed",
		"a.T, , 1":             "empty",
		"a.T, c, 1\na.T, c, 1": "twice",
	} {
		if _, err := readList(strings.NewReader(text)); (err == nil) != (why == "") || err != nil && !strings.Contains(err.Error(), why) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
