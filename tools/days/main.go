// Command days generates random test scenarios ("days") for the program fleetbench and one of its
// deployments ("sites"). A day has events: faults and planned operations. The seed determines them.
// They are drawn from the kinds that the bench lists for the site and the examples in the site file.
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
	siteFile    = flag.String("site", "", "site file")
	bench       = flag.String("bench", "", "the program fleetbench")
	out         = flag.String("out", "", "directory for the day files")
	profileName = flag.String("profile", "all", "long-cuts, storms, replacements, closing, mixed, leavers, or all in turn")
	seed        = flag.Uint64("seed", 1, "seed of the first day; each further day adds one")
	count       = flag.Int("count", 5, "number of days")
	length      = flag.Float64("length", 0, "length of a day in seconds (default 45; long-cuts 60)")
)

func main() {
	flag.Parse()
	log.SetFlags(0)
	if err := writeDays(); err != nil {
		log.Fatal("days: ", err)
	}
}

// writeDays writes one file for each day and prints its path.
func writeDays() error {
	selected := slices.Clone(profiles)
	if *profileName != "all" {
		selected = slices.DeleteFunc(selected, func(profile profile) bool { return profile.name != *profileName })
	}
	if *siteFile == "" || *bench == "" || *out == "" || len(selected) == 0 || *length != 0 && *length < 10 {
		return errors.New("-site, -bench, -out, a known -profile and a -length from 10 s on are needed")
	}
	siteText, err := os.ReadFile(*siteFile)
	if err != nil {
		return err
	}
	var parsedSite site
	if err := toml.Unmarshal(siteText, &parsedSite); err != nil {
		return fmt.Errorf("%s: %w", *siteFile, err)
	}
	kindsText, err := exec.Command(*bench, "kinds", *siteFile).Output()
	if err != nil {
		return fmt.Errorf("%s kinds: %w", *bench, err)
	}
	catalog := parseKinds(string(kindsText))
	if len(catalog.kinds) == 0 {
		return fmt.Errorf("%s lists no kinds", *bench)
	}
	if err := os.MkdirAll(*out, 0o755); err != nil {
		return err
	}
	for i := range *count {
		dayProfile := selected[i%len(selected)]
		if *length != 0 {
			dayProfile.lengthS = *length
		}
		generated := generateDay(parsedSite, catalog, dayProfile, *seed+uint64(i))
		var content bytes.Buffer // the first line is the command that generates this day alone
		fmt.Fprintf(&content, "# go run ./tools/days -site %q -bench %q -seed %d -count 1 -out %q -length %g -profile %s\n",
			*siteFile, *bench, generated.Seed, *out, generated.LengthS, dayProfile.name)
		if err := toml.NewEncoder(&content).Encode(generated); err != nil {
			return err
		}
		path := filepath.Join(*out, parsedSite.Name+"-"+generated.Name+".toml")
		if err := os.WriteFile(path, content.Bytes(), 0o644); err != nil {
			return err
		}
		fmt.Println(path)
	}
	return nil
}
