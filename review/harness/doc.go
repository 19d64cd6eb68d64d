// Command harness runs the scripted cases of the review. Each case starts the project's own
// programs as separate processes on loopback addresses, with the commands of the deploy file and
// the settings of a small deployment, and plays the platform, its operator, its clients and its
// replicas as the platform's pages describe them.
//
//	harness CASE [-record FILE]
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main
