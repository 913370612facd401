// Package exposition keeps the histograms of a registry of metrics alike, writes
// all its metrics in the text format that Prometheus and its kin read, and serves
// them over HTTP.
//
// Names in the registry have the form "family.label": the family becomes the
// metric's name, what follows the first dot the value of its label "kind".
// Histograms are written as summaries with quantiles, a sum and a count.
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
)

// prefix stands before every name.
const prefix = "headcourse_"

// quantiles are written of each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes all metrics of a registry, ordered by name.
func Write(out io.Writer, registry metrics.Registry) error {
	all := map[string]any{}
	registry.Each(func(name string, metric any) {
		all[name] = metric
	})
	typed := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		family, kind, _ := strings.Cut(name, ".")
		if err := writeOne(out, prefix+family, kind, all[name], typed); err != nil {
			return errors.Wrapf(err, "write metric %s", name)
		}
	}
	return nil
}

// writeOne writes one metric, and its type before the first of a family.
func writeOne(out io.Writer, family, kind string, metric any, typed map[string]bool) error {
	switch known := metric.(type) {
	case metrics.Counter:
		return writeValue(out, family+"_total", "counter", kind, float64(known.Count()), typed)
	case metrics.Gauge:
		return writeValue(out, family, "gauge", kind, float64(known.Value()), typed)
	case metrics.GaugeFloat64:
		return writeValue(out, family, "gauge", kind, known.Value(), typed)
	case metrics.Histogram:
		return writeHistogram(out, family, kind, known.Snapshot(), typed)
	default:
		return nil
	}
}

// writeType writes the type line of a family once.
func writeType(out io.Writer, family, kind string, typed map[string]bool) error {
	if typed[family] {
		return nil
	}
	typed[family] = true
	_, err := fmt.Fprintf(out, "# TYPE %s %s\n", family, kind)
	return err
}

// writeValue writes a counter or a gauge.
func writeValue(out io.Writer, family, metricType, kind string, value float64, typed map[string]bool) error {
	if err := writeType(out, family, metricType, typed); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s%s %s\n", family, labels(kind, ""), number(value))
	return err
}

// writeHistogram writes a histogram as a summary.
func writeHistogram(out io.Writer, family, kind string, histogram metrics.Histogram, typed map[string]bool) error {
	if err := writeType(out, family, "summary", typed); err != nil {
		return err
	}
	for i, value := range histogram.Percentiles(quantiles) {
		if _, err := fmt.Fprintf(out, "%s%s %s\n", family, labels(kind, number(quantiles[i])), number(value)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%s_sum%s %d\n%s_count%s %d\n", family, labels(kind, ""), histogram.Sum(), family, labels(kind, ""), histogram.Count())
	return err
}

// labels returns a metric's labels, or nothing.
func labels(kind, quantile string) string {
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

// number writes a number without needless digits.
func number(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// Server serves the metrics of a registry at every path. Use Listen.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// readTimeout bounds reading one question.
const readTimeout = 5 * time.Second

// Listen serves a registry at IP:port. update is called before each answer, so
// that gauges can be set.
func Listen(address string, registry metrics.Registry, update func()) (*Server, error) {
	listener, err := net.Listen("tcp", address)
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
			ReadTimeout:           readTimeout,
			NoDefaultServerHeader: true,
			Logger:                logline.Quiet{},
		},
	}
	go func() {
		// Serve ends with an error only when the listener was closed.
		_ = server.http.Serve(listener)
	}()
	return server, nil
}

// Address returns the IP:port listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.listener.Close()
}
