package main

import (
	"fmt"
	"io"
	"math"
	"os"

	"github.com/go-json-experiment/json"
	"github.com/gravitational/trace"
)

// roundedBy bounds how much the rows of a day may miss its worth: each is rounded.
const roundedBy = 0.005

// day is one day of an entry. Parts are rows of a name, a weight and a share; prices of a
// name, a quantity and the share of the day's worth that it takes.
type day struct {
	Name   string  `json:"name"`
	Worth  float64 `json:"G"`
	Parts  [][]any `json:"parts"`
	Prices [][]any `json:"prices"`
}

// loss is where a share of a day's worth went.
type loss struct {
	name  string
	share float64
}

// readEntry reads the days of a journal's entry.
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

// losses returns the day's losses, which add up to one less its worth. The error says that
// they do not: then a part or price is not known here.
func (d *day) losses() ([]loss, error) {
	var out []loss
	var sum float64
	for _, row := range d.Parts {
		name, weight, share, ok := figures(row)
		if ok {
			out = append(out, loss{"lost in " + name, weight * (1 - share)})
		}
	}
	for _, row := range d.Prices {
		if name, _, share, ok := figures(row); ok && share > 0 {
			out = append(out, loss{"price of " + name, share})
		}
	}
	for _, l := range out {
		sum += l.share
	}
	if missing := 1 - d.Worth - sum; math.Abs(missing) > roundedBy {
		return out, trace.BadParameter("%s: the losses add up to %.4f, and %.4f is lost", d.Name, sum, 1-d.Worth)
	}
	return out, nil
}

// figures reads a row of a name and two figures.
func figures(row []any) (name string, first, second float64, ok bool) {
	const columns = 3
	if len(row) < columns {
		return "", 0, 0, false
	}
	name, isName := row[0].(string)
	first, isFirst := row[1].(float64)
	second, isSecond := row[2].(float64)
	return name, first, second, isName && isFirst && isSecond
}

// print writes the day's losses.
func (d *day) print(w io.Writer) error {
	ls, err := d.losses()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "%s: worth %.4f\n", d.Name, d.Worth); err != nil {
		return err
	}
	for _, l := range ls {
		if _, err := fmt.Fprintf(w, "  %7.4f %s\n", l.share, l.name); err != nil {
			return err
		}
	}
	return nil
}
