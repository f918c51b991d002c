// Command knownfailures reads the output of go test -json on standard input, and succeeds if the
// failing tests are exactly those in a list of known failures. The script .ci/run uses it if there
// is such a list.
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

// maxKnownFailures is the maximum length of a list.
const maxKnownFailures = 3

// knownFailure is one line of a list: "test, cause, issue". A test is given as PACKAGE.NAME, the
// package relative to the module, as in internal/delivery.TestX.
type knownFailure struct{ test, cause, issue string }

func readList(r io.Reader) (list []knownFailure, err error) {
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, ",")
		if len(fields) != 3 {
			return nil, fmt.Errorf("line %d: test, cause and issue are needed, with commas between", number)
		}
		failure := knownFailure{strings.TrimSpace(fields[0]), strings.TrimSpace(fields[1]), strings.TrimSpace(fields[2])}
		if failure.test == "" || failure.cause == "" || failure.issue == "" {
			return nil, fmt.Errorf("line %d: test, cause or issue is empty", number)
		}
		if slices.ContainsFunc(list, func(other knownFailure) bool { return other.test == failure.test }) {
			return nil, fmt.Errorf("line %d: %s is named twice", number, failure.test)
		}
		list = append(list, failure)
	}
	if len(list) > maxKnownFailures {
		return nil, fmt.Errorf("%d tests are named, %d at most may be", len(list), maxKnownFailures)
	}
	return list, lines.Err()
}

// event is one line of the output of go test -json.
type event struct{ Action, Package, Test, Output string }

// evaluate prints the output of packages and of failing tests. It returns the reasons why the run
// counts as failed; none if it has passed.
func evaluate(module string, list []knownFailure, events io.Reader, out io.Writer) (problems []string, err error) {
	results := map[string]string{}      // by top-level test
	failedInTest := map[string]bool{}   // packages with a failing test
	failedPackages := map[string]bool{} // packages that failed
	output := map[string][]string{}
	decoder := json.NewDecoder(events)
	for {
		var parsed event
		if err := decoder.Decode(&parsed); err == io.EOF {
			break
		} else if err != nil {
			return nil, fmt.Errorf("events of go test: %w", err)
		}
		pkg := strings.TrimPrefix(parsed.Package, module+"/")
		topLevel, subtest, _ := strings.Cut(parsed.Test, "/")
		name := pkg + "." + topLevel
		switch {
		case parsed.Action == "output" && parsed.Test == "":
			fmt.Fprint(out, parsed.Output)
		case parsed.Action == "output":
			output[name] = append(output[name], parsed.Output)
		case parsed.Test == "" && parsed.Action == "fail":
			failedPackages[pkg] = true
		case parsed.Test != "" && subtest == "" && (parsed.Action == "pass" || parsed.Action == "fail" || parsed.Action == "skip"):
			results[name] = parsed.Action
			failedInTest[pkg] = failedInTest[pkg] || parsed.Action == "fail"
		}
	}
	for _, name := range slices.Sorted(maps.Keys(results)) {
		if results[name] != "fail" {
			continue
		}
		fmt.Fprint(out, strings.Join(output[name], ""))
		if i := slices.IndexFunc(list, func(failure knownFailure) bool { return failure.test == name }); i >= 0 {
			fmt.Fprintf(out, "known red: %s, %s, %s\n", list[i].test, list[i].cause, list[i].issue)
		} else {
			problems = append(problems, name+" fails")
		}
	}
	for _, failure := range list {
		switch results[failure.test] {
		case "fail":
		case "":
			problems = append(problems, failure.test+" is listed as red but did not run")
		default:
			problems = append(problems, failure.test+" is listed as red but does not fail ("+results[failure.test]+")")
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(failedPackages)) {
		if !failedInTest[pkg] {
			problems = append(problems, pkg+" fails outside its tests")
		}
	}
	if len(results) == 0 {
		problems = append(problems, "no test ran")
	}
	return problems, nil
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "knownfailures MODULE LIST, with the events of go test -json on standard input")
		os.Exit(2)
	}
	file, err := os.Open(os.Args[2])
	if err == nil {
		var list []knownFailure
		if list, err = readList(file); err == nil {
			var problems []string
			if problems, err = evaluate(os.Args[1], list, os.Stdin, os.Stdout); err == nil && len(problems) > 0 {
				err = fmt.Errorf("%s", strings.Join(problems, "; "))
			}
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownfailures:", err)
		os.Exit(1)
	}
}
