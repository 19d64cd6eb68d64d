// Command sumachead-node runs a process of sumachead on the users' platform.
package main

import "sumachead/platform"

func main() { platform.Main() }
