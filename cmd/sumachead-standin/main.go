// Command sumachead-standin simulates a backend server for the demo and tests.
package main

import "sumachead/internal/standin/standincmd"

func main() { standincmd.Main() }
