// Command sumachead-standin plays a backend server for the demo and the tests.
package main

import "sumachead/internal/standin/standincmd"

func main() { standincmd.Main() }
