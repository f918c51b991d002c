package main

import (
	"regexp"
	"slices"
	"strings"
)

// kind is a kind of event with the bench's description of it.
type kind struct {
	name, text     string
	variants       []string // words for field "how", of which an event has one
	secondVariants []string // words that may follow one of variants
}

// kindCatalog holds the kinds of events of one site and the words for field "how", as the bench
// lists them.
type kindCatalog struct {
	kinds                         []kind              // in the order of the bench's text
	sharedVariants                map[string][]string // words for "how" that several kinds share, by key of sharedVariantPatterns
	closingKinds, closingVariants []string
}

var (
	kindPattern           = regexp.MustCompile(`^([a-z][a-z0-9_]*): (.+)$`)
	closingPattern        = regexp.MustCompile(`^closing = \{ *kind = ([a-z_ |]+)`)
	variantPattern        = regexp.MustCompile(`\bhow ([a-z_]+):`)
	listSeparator         = regexp.MustCompile(`,|\band\b|\bor\b`)
	wordPattern           = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	sharedVariantPatterns = map[string]*regexp.Regexp{
		"servers":   regexp.MustCompile(`For servers,.*? hold ([^.]*)`),
		"machines":  regexp.MustCompile(`For machines,.*? hold ([^.]*)`),
		"followers": regexp.MustCompile(`may stand (.*?)(?: for |\.)`), // words that follow one for machines
		"cuts":      regexp.MustCompile(`Cuts .*? holds ([^.]*)`),
	}
	listEnd       = regexp.MustCompile(`[;)]`) // a closing parenthesis here was opened before the list
	parenthesized = regexp.MustCompile(`\([^()]*\)`)
)

// parseKinds parses the output of the bench's command kinds. It skips lines that it doesn't know.
func parseKinds(text string) kindCatalog {
	catalog := kindCatalog{sharedVariants: map[string][]string{}}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if m := kindPattern.FindStringSubmatch(line); m != nil {
			catalog.addKind(m[1], m[2])
		} else if m := closingPattern.FindStringSubmatch(line); m != nil {
			catalog.closingKinds = strings.Fields(strings.ReplaceAll(m[1], "|", " "))
			catalog.closingVariants = namedVariants(line)
		} else {
			for appliesTo, pattern := range sharedVariantPatterns {
				if m := pattern.FindStringSubmatch(withoutParentheses(line)); m != nil {
					catalog.sharedVariants[appliesTo] = listedWords(m[1])
				}
			}
		}
	}
	return catalog
}

// addKind adds a kind with the words for "how" in its description. A kind that is described as "the
// same" as the kind before it in its family (same name up to the last "_") also has that kind's
// words.
func (c *kindCatalog) addKind(name, text string) {
	added := kind{name: name, text: text}
	family := name[:max(strings.LastIndexByte(name, '_'), 0)] + "_"
	if count := len(c.kinds); count > 0 && strings.HasPrefix(text, "the same") && strings.HasPrefix(c.kinds[count-1].name, family) {
		added.variants = slices.Clone(c.kinds[count-1].variants)
	}
	for _, part := range strings.Split(text, "how: ")[1:] {
		list := listEnd.Split(withoutParentheses(part), 2)[0]
		for i, item := range strings.Split(list, ",") {
			words := strings.Fields(item)
			switch {
			case i == 0:
				added.variants = append(added.variants, words...)
			case len(words) == 1, len(words) > 1 && slices.Contains(added.variants, words[0]):
				added.variants = append(added.variants, strings.Join(words, " "))
			case len(words) == 2 && words[0] == "+":
				added.secondVariants = append(added.secondVariants, words[1])
			}
		}
	}
	added.variants = append(added.variants, namedVariants(text)...)
	c.kinds = append(c.kinds, added)
}

// listedWords returns the items of a list, separated by commas, "and" and "or", that are single
// words.
func listedWords(list string) (words []string) {
	for _, word := range listSeparator.Split(list, -1) {
		if word = strings.TrimSpace(word); wordPattern.MatchString(word) {
			words = append(words, word)
		}
	}
	return words
}

// namedVariants returns each word that the text introduces by "how WORD:".
func namedVariants(text string) (words []string) {
	for _, m := range variantPattern.FindAllStringSubmatch(text, -1) {
		words = append(words, m[1])
	}
	return words
}

// withoutParentheses removes all parentheses and their content.
func withoutParentheses(text string) string {
	for parenthesized.MatchString(text) {
		text = parenthesized.ReplaceAllString(text, "")
	}
	return text
}
