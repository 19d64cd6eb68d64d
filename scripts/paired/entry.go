package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/gravitational/trace"
)

// result is what one play came to: named figures, shares of the day's worth.
type result struct {
	figures map[string]float64
	// sources is the digest of what was played.
	sources string
	// broken are the rules that were broken.
	broken []string
}

// journal is the plays that are known, by play.key.
type journal map[string]*result

// key names a play as entries do.
func (p play) key() string {
	site := strings.TrimSuffix(filepath.Base(p.site), ".toml")
	day := strings.TrimSuffix(filepath.Base(p.day), ".toml")
	return fmt.Sprint(site, " ", day, " ", p.seed)
}

// entry is the part of a journal's entry that is read here.
type entry struct {
	Command string     `json:"cmd"`
	Args    []string   `json:"argv"`
	Site    string     `json:"site"`
	Days    []entryDay `json:"days"`
	// Sources are the digests of what was played.
	Sources []struct {
		Digest string `json:"sha256"`
	} `json:"policy"`
}

// entryDay is one day of an entry. Parts and prices are rows of a name and figures.
type entryDay struct {
	Worth   float64        `json:"G"`
	Name    string         `json:"name"`
	Seed    uint64         `json:"seed"`
	Parts   [][]any        `json:"parts"`
	Prices  [][]any        `json:"prices"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Rules   map[string]any `json:"rules"`
}

// noCPU is the bench's option by which processor time is not charged.
const noCPU = "--no-cpu"

// readJournal reads the single plays of certain sources in a tree, with processor time
// charged or not. A journal has plays of other sources too: those of earlier commits.
func readJournal(tree, sources string, cpu bool) (journal, error) {
	files, err := filepath.Glob(filepath.Join(tree, "journal", "*.json"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out := make(journal)
	for _, f := range files {
		e, r, err := readEntry(f)
		if err != nil {
			return nil, err
		}
		if r != nil && r.sources == sources && e.Command == "run" && slices.Contains(e.Args, noCPU) != cpu {
			name, _, _ := strings.Cut(e.Days[0].Name, " ")
			out[play{e.Site, name, e.Days[0].Seed}.key()] = r
		}
	}
	return out, nil
}

// readEntry reads an entry; the result is that of its only day, nil if there are
// others.
func readEntry(path string) (*entry, *result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	var e entry
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, nil, trace.Wrap(err, "%s", path)
	}
	if len(e.Days) != 1 {
		return &e, nil, nil
	}
	r := e.Days[0].result()
	for _, s := range e.Sources {
		r.sources += s.Digest
	}
	return &e, r, nil
}

// result names the figures of a day.
func (d *entryDay) result() *result {
	r := &result{figures: map[string]float64{"worth": d.Worth, "refused": d.Refused, "failed": d.Failed}}
	var prices float64
	for _, row := range d.Parts {
		// A part is a name, its weight, and its share.
		r.set(row, 2)
	}
	for _, row := range d.Prices {
		// A price is a name, a quantity, and the share that it takes.
		prices += r.set(row, 2)
	}
	r.figures["all prices"] = prices
	for _, name := range slices.Sorted(maps.Keys(d.Rules)) {
		r.broken = append(r.broken, fmt.Sprint(name, " ", d.Rules[name]))
	}
	return r
}

// set takes the figure in a column of a row under the row's name.
func (r *result) set(row []any, column int) float64 {
	if len(row) <= column {
		return 0
	}
	name, ok := row[0].(string)
	v, isNumber := row[column].(float64)
	if ok && isNumber {
		r.figures[name] = v
	}
	return v
}
