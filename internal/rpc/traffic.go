package rpc

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// sentBytes counts the bytes that this process has sent by method, in calls and replies
// together.
var sentBytes sync.Map // method -> *atomic.Int64

// countSent adds n to the bytes sent for a method.
func countSent(method string, n int) {
	c, ok := sentBytes.Load(method)
	if !ok {
		c, _ = sentBytes.LoadOrStore(method, &atomic.Int64{})
	}
	c.(*atomic.Int64).Add(int64(n))
}

// TrafficCollector exports the bytes sent by method to Prometheus.
type TrafficCollector struct{}

var sentDesc = prometheus.NewDesc("sumachead_rpc_sent_bytes_total",
	"Bytes sent to other processes of the system, calls and replies, by method.", []string{"method"}, nil)

// Describe implements prometheus.Collector.
func (TrafficCollector) Describe(ch chan<- *prometheus.Desc) { ch <- sentDesc }

// Collect implements prometheus.Collector.
func (TrafficCollector) Collect(ch chan<- prometheus.Metric) {
	sentBytes.Range(func(method, n any) bool {
		ch <- prometheus.MustNewConstMetric(sentDesc, prometheus.CounterValue, float64(n.(*atomic.Int64).Load()), method.(string))
		return true
	})
}
