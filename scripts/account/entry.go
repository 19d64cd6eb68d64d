package main

import (
	"fmt"
	"io"
	"math"
	"os"

	"github.com/go-json-experiment/json"
	"github.com/gravitational/trace"
)

// maxRoundingError is the tolerance when the losses of a day are compared with its goodput, as
// each row of an entry is rounded.
const maxRoundingError = 0.005

// day is the result of one day in a journal entry. A row of Parts has a name, a weight and a
// share. A row of Prices has a name, a quantity and the share of the goodput that it costs.
type day struct {
	Name    string  `json:"name"`
	Goodput float64 `json:"G"`
	Parts   [][]any `json:"parts"`
	Prices  [][]any `json:"prices"`
}

// loss is a share of a day's goodput that was lost, and the part or price that it was lost to.
type loss struct {
	name  string
	share float64
}

// readEntry reads the days of a journal entry.
func readEntry(path string) ([]day, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var e struct {
		Days []day `json:"days"`
	}
	return e.Days, trace.Wrap(json.Unmarshal(data, &e), "%s", path)
}

// losses returns the losses of the day, which add up to one minus its goodput. If they do not,
// the entry has a part or price that is unknown here, and an error is returned.
func (d *day) losses() ([]loss, error) {
	var out []loss
	var sum float64
	for _, row := range d.Parts {
		name, weight, share, ok := parseRow(row)
		if ok {
			out = append(out, loss{"lost in " + name, weight * (1 - share)})
		}
	}
	for _, row := range d.Prices {
		if name, _, share, ok := parseRow(row); ok && share > 0 {
			out = append(out, loss{"price of " + name, share})
		}
	}
	for _, l := range out {
		sum += l.share
	}
	if missing := 1 - d.Goodput - sum; math.Abs(missing) > maxRoundingError {
		return out, trace.BadParameter("%s: the losses add up to %.4f instead of %.4f", d.Name, sum, 1-d.Goodput)
	}
	return out, nil
}

// parseRow parses a row of a name and two numbers.
func parseRow(row []any) (name string, first, second float64, ok bool) {
	const columns = 3
	if len(row) < columns {
		return "", 0, 0, false
	}
	name, isName := row[0].(string)
	first, isFirst := row[1].(float64)
	second, isSecond := row[2].(float64)
	return name, first, second, isName && isFirst && isSecond
}

// print writes the losses of the day.
func (d *day) print(w io.Writer) error {
	ls, err := d.losses()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "%s: worth %.4f\n", d.Name, d.Goodput); err != nil {
		return err
	}
	for _, l := range ls {
		if _, err := fmt.Fprintf(w, "  %7.4f %s\n", l.share, l.name); err != nil {
			return err
		}
	}
	return nil
}
