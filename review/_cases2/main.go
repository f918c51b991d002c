package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// cases maps the name of a case to its function. broken says that the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"partial": partial,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "call: cases2 CASE RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{out: out, began: time.Now()}
	go func() { // the case may run for 120 s
		time.Sleep(110 * time.Second)
		rec.line("out of time")
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errSetup) || err != nil:
		rec.line("%v", err)
		fmt.Println(err)
		os.Exit(2)
	case broken:
		rec.line("result: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.line("result: the rule held")
	fmt.Println("the rule held")
}
