// Command sumachead-node runs one process of sumachead on the users' platform.
package main

import "sumachead/platform"

func main() { platform.Main() }
