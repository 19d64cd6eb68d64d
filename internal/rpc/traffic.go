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
func countSent(method string, n int) { add(&sentBytes, method, n) }

// add adds n to the counter of a method.
func add(counters *sync.Map, method string, n int) {
	c, ok := counters.Load(method)
	if !ok {
		c, _ = counters.LoadOrStore(method, &atomic.Int64{})
	}
	c.(*atomic.Int64).Add(int64(n))
}

// invalidMessages counts the messages by method that could not be encoded completely.
var invalidMessages sync.Map // method -> *atomic.Int64

// countInvalid counts a message that could not be encoded completely.
func countInvalid(method string) { add(&invalidMessages, method, 1) }

// TrafficCollector exports the bytes sent and the invalid messages by method to Prometheus.
type TrafficCollector struct{}

var sentDesc = prometheus.NewDesc("sumachead_rpc_sent_bytes_total",
	"Bytes sent to other processes of the system, calls and replies, by method.", []string{"method"}, nil)

var invalidDesc = prometheus.NewDesc("sumachead_rpc_invalid_messages_total",
	"Calls and replies that could not be sent whole because a part of them cannot be encoded, by method.", []string{"method"}, nil)

// Describe implements prometheus.Collector.
func (TrafficCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- sentDesc
	ch <- invalidDesc
}

// Collect implements prometheus.Collector.
func (TrafficCollector) Collect(ch chan<- prometheus.Metric) {
	collect := func(counters *sync.Map, d *prometheus.Desc) {
		counters.Range(func(method, n any) bool {
			ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n.(*atomic.Int64).Load()), method.(string))
			return true
		})
	}
	collect(&sentBytes, sentDesc)
	collect(&invalidMessages, invalidDesc)
}
