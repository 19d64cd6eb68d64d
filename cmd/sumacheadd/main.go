// Command sumacheadd is the daemon: a router, an agent or a keeper, as its
// settings file says.
package main

import "sumachead/internal/daemon/daemoncmd"

func main() { daemoncmd.Main() }
