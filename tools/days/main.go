// Command days writes days of one's own for a site of the bench, drawn by seed from
// what the bench says of that site's kinds of trouble and from the site's examples.
package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

var (
	siteFile = flag.String("site", "", "site file")
	bench    = flag.String("bench", "", "the program fleetbench")
	out      = flag.String("out", "", "directory for the day files")
	which    = flag.String("profile", "all", "long-cuts, storms, replacements, closing, mixed, leavers, or all in turn")
	seed     = flag.Uint64("seed", 1, "seed of the first day; each further day adds one")
	count    = flag.Int("count", 5, "number of days")
	length   = flag.Float64("length", 0, "length of a day in seconds (default 45; long-cuts 60)")
)

func main() {
	flag.Parse()
	log.SetFlags(0)
	if err := run(); err != nil {
		log.Fatal("days: ", err)
	}
}

// run writes the days, and prints the path of each.
func run() error {
	use := slices.Clone(profiles)
	if *which != "all" {
		use = slices.DeleteFunc(use, func(p profile) bool { return p.name != *which })
	}
	if *siteFile == "" || *bench == "" || *out == "" || len(use) == 0 || *length != 0 && *length < 10 {
		return errors.New("-site, -bench, -out, a known -profile and a -length from 10 s on are needed")
	}
	raw, err := os.ReadFile(*siteFile)
	if err != nil {
		return err
	}
	var st site
	if err := toml.Unmarshal(raw, &st); err != nil {
		return fmt.Errorf("%s: %w", *siteFile, err)
	}
	text, err := exec.Command(*bench, "kinds", *siteFile).Output()
	if err != nil {
		return fmt.Errorf("%s kinds: %w", *bench, err)
	}
	sp := parseKinds(string(text))
	if len(sp.kinds) == 0 {
		return fmt.Errorf("%s lists no kinds", *bench)
	}
	if err := os.MkdirAll(*out, 0o755); err != nil {
		return err
	}
	for i := range *count {
		p := use[i%len(use)]
		if *length != 0 {
			p.lengthS = *length
		}
		d := drawDay(st, sp, p, *seed+uint64(i))
		var b bytes.Buffer // the first line is the command that makes just this day
		fmt.Fprintf(&b, "# go run ./tools/days -site %q -bench %q -seed %d -count 1 -out %q -length %g -profile %s\n",
			*siteFile, *bench, d.Seed, *out, d.LengthS, p.name)
		if err := toml.NewEncoder(&b).Encode(d); err != nil {
			return err
		}
		path := filepath.Join(*out, st.Name+"-"+d.Name+".toml")
		if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
			return err
		}
		fmt.Println(path)
	}
	return nil
}
