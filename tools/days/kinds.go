package main

import (
	"regexp"
	"slices"
	"strings"
)

// kind is a kind of trouble as the bench describes it.
type kind struct {
	name, text string
	words      []string // variants of how; one at a time
	extra      []string // variants that may follow one of words
}

// spec is what the bench's text on the kinds of one site holds.
type spec struct {
	kinds                  []kind              // in the order of the text
	shared                 map[string][]string // words that many kinds share, by key of sharedWords
	closings, closingWords []string
}

var (
	kindLine    = regexp.MustCompile(`^([a-z][a-z0-9_]*): (.+)$`)
	closingLine = regexp.MustCompile(`^closing = \{ *kind = ([a-z_ |]+)`)
	howWord     = regexp.MustCompile(`\bhow ([a-z_]+):`)
	between     = regexp.MustCompile(`,|\band\b|\bor\b`)
	oneWord     = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	sharedWords = map[string]*regexp.Regexp{
		"servers":   regexp.MustCompile(`For servers,.*? hold ([^.]*)`),
		"machines":  regexp.MustCompile(`For machines,.*? hold ([^.]*)`),
		"followers": regexp.MustCompile(`may stand (.*?)(?: for |\.)`), // after those for machines
		"cuts":      regexp.MustCompile(`Cuts .*? holds ([^.]*)`),
	}
	listEnd  = regexp.MustCompile(`[;)]`) // a bracket here was opened before the list
	brackets = regexp.MustCompile(`\([^()]*\)`)
)

// parseKinds reads the bench's text on kinds. What it doesn't know it passes over.
func parseKinds(text string) spec {
	s := spec{shared: map[string][]string{}}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if m := kindLine.FindStringSubmatch(line); m != nil {
			s.addKind(m[1], m[2])
		} else if m := closingLine.FindStringSubmatch(line); m != nil {
			s.closings = strings.Fields(strings.ReplaceAll(m[1], "|", " "))
			s.closingWords = howWords(line)
		} else {
			for of, re := range sharedWords {
				if m := re.FindStringSubmatch(outside(line)); m != nil {
					s.shared[of] = names(m[1])
				}
			}
		}
	}
	return s
}

func (s *spec) addKind(name, text string) {
	k := kind{name: name, text: text}
	family := name[:max(strings.LastIndexByte(name, '_'), 0)] + "_"
	if n := len(s.kinds); n > 0 && strings.HasPrefix(text, "the same") && strings.HasPrefix(s.kinds[n-1].name, family) {
		k.words = slices.Clone(s.kinds[n-1].words)
	}
	for _, part := range strings.Split(text, "how: ")[1:] {
		list := listEnd.Split(outside(part), 2)[0]
		for i, chunk := range strings.Split(list, ",") {
			words := strings.Fields(chunk)
			switch {
			case i == 0:
				k.words = append(k.words, words...)
			case len(words) == 1, len(words) > 1 && slices.Contains(k.words, words[0]):
				k.words = append(k.words, strings.Join(words, " "))
			case len(words) == 2 && words[0] == "+":
				k.extra = append(k.extra, words[1])
			}
		}
	}
	k.words = append(k.words, howWords(text)...)
	s.kinds = append(s.kinds, k)
}

// names gives the single words of a list with commas, "and" and "or".
func names(list string) (words []string) {
	for _, w := range between.Split(list, -1) {
		if w = strings.TrimSpace(w); oneWord.MatchString(w) {
			words = append(words, w)
		}
	}
	return words
}

func howWords(text string) (words []string) {
	for _, m := range howWord.FindAllStringSubmatch(text, -1) {
		words = append(words, m[1])
	}
	return words
}

// outside gives the text without what stands in brackets.
func outside(text string) string {
	for brackets.MatchString(text) {
		text = brackets.ReplaceAllString(text, "")
	}
	return text
}
