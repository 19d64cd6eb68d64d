// Command sumachead is the operators' command-line tool.
package main

import (
	"os"

	"sumachead/internal/tool"
)

func main() {
	os.Exit(tool.Run(os.Args[1:], os.Stdout, os.Stderr))
}
