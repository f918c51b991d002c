// Command knownfailures reads the events of go test -json on standard input and decides
// whether tests that fail are those, and just those, that a list names as red for a
// known fault. It is what .ci/run uses where there is such a list.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// most is how many tests a list may name.
const most = 3

// entry is one line of a list: test, cause, issue. A test is named by its package and
// name, with a dot between, as in internal/delivery.TestX.
type entry struct{ test, cause, issue string }

func readList(r io.Reader) (list []entry, err error) {
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, ",")
		if len(parts) != 3 {
			return nil, fmt.Errorf("line %d: test, cause and issue are needed, with commas between", n)
		}
		e := entry{strings.TrimSpace(parts[0]), strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])}
		if e.test == "" || e.cause == "" || e.issue == "" {
			return nil, fmt.Errorf("line %d: test, cause or issue is empty", n)
		}
		if slices.ContainsFunc(list, func(o entry) bool { return o.test == e.test }) {
			return nil, fmt.Errorf("line %d: %s is named twice", n, e.test)
		}
		list = append(list, e)
	}
	if len(list) > most {
		return nil, fmt.Errorf("%d tests are named, %d at most may be", len(list), most)
	}
	return list, lines.Err()
}

// event is one line of go test -json.
type event struct{ Action, Package, Test, Output string }

// judge prints what go test would, of failing tests and packages only, and says why
// the run has failed; empty: it has not.
func judge(module string, list []entry, events io.Reader, out io.Writer) (faults []string, err error) {
	results := map[string]string{} // top-level test -> its result
	inside := map[string]bool{}    // packages in which a test has failed
	failed := map[string]bool{}    // packages that have failed
	output := map[string][]string{}
	dec := json.NewDecoder(events)
	for {
		var e event
		if err := dec.Decode(&e); err == io.EOF {
			break
		} else if err != nil {
			return nil, fmt.Errorf("events of go test: %w", err)
		}
		pkg := strings.TrimPrefix(e.Package, module+"/")
		top, sub, _ := strings.Cut(e.Test, "/")
		name := pkg + "." + top
		switch {
		case e.Action == "output" && e.Test == "":
			fmt.Fprint(out, e.Output)
		case e.Action == "output":
			output[name] = append(output[name], e.Output)
		case e.Test == "" && e.Action == "fail":
			failed[pkg] = true
		case e.Test != "" && sub == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip"):
			results[name] = e.Action
			inside[pkg] = inside[pkg] || e.Action == "fail"
		}
	}
	for _, name := range slices.Sorted(maps.Keys(results)) {
		if results[name] != "fail" {
			continue
		}
		fmt.Fprint(out, strings.Join(output[name], ""))
		if i := slices.IndexFunc(list, func(e entry) bool { return e.test == name }); i >= 0 {
			fmt.Fprintf(out, "known red: %s, %s, %s\n", list[i].test, list[i].cause, list[i].issue)
		} else {
			faults = append(faults, name+" fails")
		}
	}
	for _, e := range list {
		switch results[e.test] {
		case "fail":
		case "":
			faults = append(faults, e.test+" is listed as red but did not run")
		default:
			faults = append(faults, e.test+" is listed as red but does not fail ("+results[e.test]+")")
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(failed)) {
		if !inside[pkg] {
			faults = append(faults, pkg+" fails outside its tests")
		}
	}
	if len(results) == 0 {
		faults = append(faults, "no test ran")
	}
	return faults, nil
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "knownfailures MODULE LIST, with the events of go test -json on standard input")
		os.Exit(2)
	}
	f, err := os.Open(os.Args[2])
	if err == nil {
		var list []entry
		if list, err = readList(f); err == nil {
			var faults []string
			if faults, err = judge(os.Args[1], list, os.Stdin, os.Stdout); err == nil && len(faults) > 0 {
				err = fmt.Errorf("%s", strings.Join(faults, "; "))
			}
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownfailures:", err)
		os.Exit(1)
	}
}
