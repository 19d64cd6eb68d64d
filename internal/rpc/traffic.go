package rpc

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// sent counts the bytes that this process has sent, by method; calls and replies
// together.
var sent sync.Map // method -> *atomic.Int64

// noteSent counts n bytes that were sent for a method.
func noteSent(method string, n int) {
	c, ok := sent.Load(method)
	if !ok {
		c, _ = sent.LoadOrStore(method, &atomic.Int64{})
	}
	c.(*atomic.Int64).Add(int64(n))
}

// Traffic tells the bytes sent, by method, to Prometheus.
type Traffic struct{}

var sentDesc = prometheus.NewDesc("sumachead_rpc_sent_bytes_total",
	"Bytes sent to other processes of the system, calls and replies, by method.", []string{"method"}, nil)

// Describe implements prometheus.Collector.
func (Traffic) Describe(ch chan<- *prometheus.Desc) { ch <- sentDesc }

// Collect implements prometheus.Collector.
func (Traffic) Collect(ch chan<- prometheus.Metric) {
	sent.Range(func(method, n any) bool {
		ch <- prometheus.MustNewConstMetric(sentDesc, prometheus.CounterValue, float64(n.(*atomic.Int64).Load()), method.(string))
		return true
	})
}
