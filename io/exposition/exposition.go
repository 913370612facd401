// Package exposition records durations in histograms, writes the counters, gauges and histograms
// of a registry in the Prometheus text format and serves them over HTTP.
//
// Names in the registry have the form "family.label": the family becomes the metric's name, and
// what follows the first dot becomes the value of its label "kind". Histograms are written as
// summaries with quantiles, a sum and a count.
package exposition

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"headcourse/io/logline"
	"headcourse/io/tcp"
)

// namePrefix precedes every metric name.
const namePrefix = "headcourse_"

// quantiles are the quantiles written of each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes the counters, gauges and histograms of a registry, ordered by name.
func Write(out io.Writer, registry metrics.Registry) error {
	byName := map[string]any{}
	registry.Each(func(name string, metric any) {
		byName[name] = metric
	})
	writtenTypes := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		family, kind, _ := strings.Cut(name, ".")
		if err := writeMetric(out, namePrefix+family, kind, byName[name], writtenTypes); err != nil {
			return errors.Wrapf(err, "write metric %s", name)
		}
	}
	return nil
}

// writeMetric writes one metric, preceded by the type line if it is the first of its family.
func writeMetric(out io.Writer, family, kind string, metric any, writtenTypes map[string]bool) error {
	switch typed := metric.(type) {
	case metrics.Counter:
		return writeValue(out, family+"_total", "counter", kind, float64(typed.Count()), writtenTypes)
	case metrics.Gauge:
		return writeValue(out, family, "gauge", kind, float64(typed.Value()), writtenTypes)
	case metrics.GaugeFloat64:
		return writeValue(out, family, "gauge", kind, typed.Value(), writtenTypes)
	case metrics.Histogram:
		return writeHistogram(out, family, kind, typed.Snapshot(), writtenTypes)
	default:
		return nil
	}
}

// writeType writes the type line of a family unless it has been written.
func writeType(out io.Writer, family, metricType string, writtenTypes map[string]bool) error {
	if writtenTypes[family] {
		return nil
	}
	writtenTypes[family] = true
	_, err := fmt.Fprintf(out, "# TYPE %s %s\n", family, metricType)
	return err
}

// writeValue writes a counter or a gauge.
func writeValue(out io.Writer, family, metricType, kind string, value float64, writtenTypes map[string]bool) error {
	if err := writeType(out, family, metricType, writtenTypes); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s%s %s\n", family, formatLabels(kind, ""), formatNumber(value))
	return err
}

// writeHistogram writes a histogram as a summary.
func writeHistogram(out io.Writer, family, kind string, histogram metrics.Histogram, writtenTypes map[string]bool) error {
	if err := writeType(out, family, "summary", writtenTypes); err != nil {
		return err
	}
	for i, value := range histogram.Percentiles(quantiles) {
		if _, err := fmt.Fprintf(out, "%s%s %s\n", family, formatLabels(kind, formatNumber(quantiles[i])), formatNumber(value)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%s_sum%s %d\n%s_count%s %d\n", family, formatLabels(kind, ""), histogram.Sum(), family, formatLabels(kind, ""), histogram.Count())
	return err
}

// formatLabels returns the labels of a metric, or an empty string if it has none.
func formatLabels(kind, quantile string) string {
	var parts []string
	if kind != "" {
		parts = append(parts, "kind="+strconv.Quote(kind))
	}
	if quantile != "" {
		parts = append(parts, "quantile="+strconv.Quote(quantile))
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// formatNumber returns the shortest decimal form of a number that preserves its value.
func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// Server serves the metrics of a registry at every path. Use Listen.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// requestReadTimeout bounds reading one request.
const requestReadTimeout = 5 * time.Second

// Listen starts a Server of a registry on IP:port. It calls update before each answer, so that
// gauges can be set.
func Listen(address string, registry metrics.Registry, update func()) (*Server, error) {
	listener, err := tcp.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for metrics on %s", address)
	}
	server := &Server{
		listener: listener,
		http: &fasthttp.Server{
			Handler: func(ctx *fasthttp.RequestCtx) {
				update()
				ctx.SetContentType("text/plain; version=0.0.4")
				if writeErr := Write(ctx, registry); writeErr != nil {
					ctx.Error(writeErr.Error(), fasthttp.StatusInternalServerError)
				}
			},
			ReadTimeout:           requestReadTimeout,
			NoDefaultServerHeader: true,
			Logger:                logline.Discard{},
		},
	}
	go func() {
		// Serve returns an error only when the listener has been closed.
		_ = server.http.Serve(listener)
	}()
	return server, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close closes the listener.
func (s *Server) Close() {
	_ = s.listener.Close()
}
