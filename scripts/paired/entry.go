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

// result is the result of one run: its figures by name, as shares of the day's goodput.
type result struct {
	figures map[string]float64
	// sources is the digest of the sources that were run.
	sources string
	// violations are the rules that the run violated.
	violations []string
}

// journal holds the results of past runs by run.key.
type journal map[string]*result

// key identifies a run by the names that journal entries use.
func (p run) key() string {
	site := strings.TrimSuffix(filepath.Base(p.site), ".toml")
	day := strings.TrimSuffix(filepath.Base(p.day), ".toml")
	return fmt.Sprint(site, " ", day, " ", p.seed)
}

// entry is the part of a journal entry that is used here.
type entry struct {
	Command string     `json:"cmd"`
	Args    []string   `json:"argv"`
	Site    string     `json:"site"`
	Days    []entryDay `json:"days"`
	// Sources are the digests of the source files that were run.
	Sources []struct {
		Digest string `json:"sha256"`
	} `json:"policy"`
}

// entryDay is the result of one day in an entry. Parts and Prices are rows of a name and
// numbers.
type entryDay struct {
	Goodput float64        `json:"G"`
	Name    string         `json:"name"`
	Seed    uint64         `json:"seed"`
	Parts   [][]any        `json:"parts"`
	Prices  [][]any        `json:"prices"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Rules   map[string]any `json:"rules"`
}

// noCPU is the option of the bench that excludes processor time from the prices.
const noCPU = "--no-cpu"

// readJournal reads the runs of a single day with the given sources from the journal of a
// source tree, with processor time charged or not. The journal also has runs of other sources,
// from earlier commits.
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
			out[run{e.Site, name, e.Days[0].Seed}.key()] = r
		}
	}
	return out, nil
}

// readEntry reads an entry. It returns the result of its day, or nil unless it has exactly one.
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

// result collects the figures of a day by name.
func (d *entryDay) result() *result {
	r := &result{figures: map[string]float64{"worth": d.Goodput, "refused": d.Refused, "failed": d.Failed}}
	var prices float64
	for _, row := range d.Parts {
		// A part is a name, a weight and a share.
		r.set(row, 2)
	}
	for _, row := range d.Prices {
		// A price is a name, a quantity and the share of the goodput that it costs.
		prices += r.set(row, 2)
	}
	r.figures["all prices"] = prices
	for _, name := range slices.Sorted(maps.Keys(d.Rules)) {
		r.violations = append(r.violations, fmt.Sprint(name, " ", d.Rules[name]))
	}
	return r
}

// set stores the number in a column of a row under the row's name, and returns it.
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
