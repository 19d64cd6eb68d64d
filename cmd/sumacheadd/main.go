// Command sumacheadd is the daemon. It runs as a router, an agent or a keeper,
// depending on its settings file.
package main

import "sumachead/internal/daemon/daemoncmd"

func main() { daemoncmd.Main() }
