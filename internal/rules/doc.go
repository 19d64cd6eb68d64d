// Package rules computes the users' rules from what callers sent and backend servers received, as the
// rules are written and independently of the code that keeps them. Only tests use it.
package rules
