// Package serversockets runs the sockets of backend servers in a process of its own, so that a signal stops and
// continues them as it does a real server: the kernel accepts connections and keeps what arrives, and then all goes on.
// The servers themselves stay in the process that opens the sockets.
package serversockets

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"headcourse/lab/proxy"
)

const (
	// openTimeout is longer than the process is stopped.
	openTimeout = 10 * time.Second
	// startTimeout limits the wait for the process.
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	fileMode     = 0o600
)

// Serve opens sockets for Open and writes the address for that to a file. It returns only on an error.
func Serve(addressFile string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for sockets of servers")
	}
	temporary := filepath.Join(filepath.Dir(addressFile), "."+filepath.Base(addressFile))
	if err = os.WriteFile(temporary, []byte(listener.Addr().String()), fileMode); err != nil {
		return errors.Wrap(err, "write address")
	}
	if err = os.Rename(temporary, addressFile); err != nil {
		return errors.Wrap(err, "write address")
	}
	server := http.Server{
		Handler:           http.HandlerFunc(handleOpen),
		ReadHeaderTimeout: openTimeout,
	}
	return errors.Wrap(server.Serve(listener), "serve sockets of servers")
}

// handleOpen opens a socket and answers with its address.
func handleOpen(w http.ResponseWriter, r *http.Request) {
	opened, err := proxy.Listen(r.URL.Query().Get("target"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// The error is ignored: the caller has ended.
	_, _ = io.WriteString(w, opened.Address())
}

// AwaitStart waits until the process that writes the file serves.
func AwaitStart(addressFile string) error {
	for began := time.Now(); ; time.Sleep(pollInterval) {
		if _, err := os.Stat(addressFile); err == nil {
			return nil
		}
		if time.Since(began) > startTimeout {
			return errors.Errorf("await sockets of servers: no %s after %s", filepath.Base(addressFile), startTimeout)
		}
	}
}

// Open opens a socket before a server that listens at target, in the process that wrote the file, and returns its
// address.
func Open(addressFile, target string) (string, error) {
	address, err := os.ReadFile(addressFile)
	if err != nil {
		return "", errors.Wrap(err, "open a server's socket")
	}
	client := http.Client{
		Timeout: openTimeout,
	}
	answer, err := client.Get("http://" + string(address) + "/?target=" + url.QueryEscape(target))
	if err != nil {
		return "", errors.Wrap(err, "open a server's socket")
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(content)))
	}
	return string(content), errors.Wrap(err, "open a server's socket")
}
