package tool

import (
	"os"

	"github.com/gravitational/trace"

	"sumachead/internal/explain"
)

type explainCommand struct {
	app     *app
	Request string `long:"request" required:"true" description:"id of the request"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, name := range c.Args.Files {
		l, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, l...)
	}
	return explain.WriteTimeline(c.app.out, lines, c.Request)
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	lines, err := explain.Read(f)
	return lines, trace.Wrap(err, "reading %s", name)
}
