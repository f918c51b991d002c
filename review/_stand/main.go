// Command stand plays the cases of the review that are scripts: it starts the project's own
// programs and everything around them, brings the disruption about, and judges what was seen.
//
//	stand CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not be run.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// cases are the scripts, by the number of their folder. Each says whether its rule was broken.
var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) (broken bool){}

var (
	record   *os.File
	recordMu sync.Mutex
	began    = time.Now()
	cleanUp  = func() {}
)

// note writes a line into the record, with the time.
func note(format string, args ...any) {
	line("%8.3f  %s", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func line(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, format+"\n", args...)
}

func unable(why string) {
	if record != nil {
		note("could not be run: %s", why)
	}
	cleanUp()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		unable(err.Error())
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	var err error
	record, err = os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f := newFleet()
	cleanUp = f.end
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	note("case %s, disruption %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](ctx, f, trouble)
	late := ctx.Err() != nil
	f.end()
	if played != nil {
		played.listRequests()
	}
	switch {
	case late:
		note("not done in time")
		os.Exit(2)
	case broken:
		note("BROKEN")
		os.Exit(1)
	}
	note("held")
}
