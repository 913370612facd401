package exposition_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"headcourse/io/exposition"
)

// sampleRegistry returns a registry with counters, a gauge and a histogram.
func sampleRegistry() metrics.Registry {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests_refused.no_route", registry).Inc(3)
	metrics.GetOrRegisterCounter("requests_refused.stale", registry).Inc(1)
	metrics.GetOrRegisterGauge("config_version", registry).Update(7)
	histogram := metrics.NewHistogram(metrics.NewUniformSample(10))
	histogram.Update(20)
	histogram.Update(40)
	_ = registry.Register("order_ms", histogram)
	return registry
}

const sampleText = `# TYPE headcourse_config_version gauge
headcourse_config_version 7
# TYPE headcourse_order_ms summary
headcourse_order_ms{quantile="0.5"} 30
headcourse_order_ms{quantile="0.95"} 40
headcourse_order_ms{quantile="0.99"} 40
headcourse_order_ms_sum 60
headcourse_order_ms_count 2
# TYPE headcourse_requests_refused_total counter
headcourse_requests_refused_total{kind="no_route"} 3
headcourse_requests_refused_total{kind="stale"} 1
`

func TestMetricsAreWrittenInPrometheusTextFormat(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, exposition.Write(&out, sampleRegistry()), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, sampleText)
}

func TestMetricsAreServedAfterUpdate(t *testing.T) {
	registry := sampleRegistry()
	server, err := exposition.Listen("127.0.0.1:0", registry, func() {
		metrics.GetOrRegisterGauge("config_version", registry).Update(8)
	})
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	status, body, err := fasthttp.Get(nil, "http://"+server.Address()+"/metrics")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, fasthttp.StatusOK)
	qt.Assert(t, string(body), qt.Contains, "headcourse_config_version 8\n")
}
