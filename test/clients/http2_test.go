package clients

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// maxOpenStreams bounds the streams that one client keeps open, so that a faulty instance does not take the memory
// of the whole machine.
const maxOpenStreams = 20

// http2Client is a client that uses frames directly.
type http2Client struct {
	*http2.Framer
	block   bytes.Buffer
	encoder *hpack.Encoder
	stream  uint32
}

// http2Form returns a form that starts HTTP/2 with prior knowledge and then calls f. read discards what arrives.
func http2Form(read bool, f func(c *http2Client), settings ...http2.Setting) form {
	return func(conn net.Conn, _ int) {
		if !send(conn, http2.ClientPreface) {
			return
		}
		if read {
			go hold(conn)
		} else {
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		}
		c := &http2Client{Framer: http2.NewFramer(conn, conn)}
		c.encoder = hpack.NewEncoder(&c.block)
		if c.WriteSettings(settings...) != nil {
			return
		}
		f(c)
		if !read {
			return
		}
		for c.WritePing(false, [8]byte{}) == nil { // until the deadline, or until the instance closes the connection
			if _, err := io.CopyN(io.Discard, conn, 1); err != nil {
				return
			}
		}
	}
}

// request returns the header block of a request with additional fields.
func (c *http2Client) request(method, path string, fields ...hpack.HeaderField) []byte {
	c.block.Reset()
	for _, f := range append([]hpack.HeaderField{
		{Name: ":method", Value: method}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "x"}, {Name: ":path", Value: path},
	}, fields...) {
		_ = c.encoder.WriteField(f) // a bytes.Buffer accepts every write
	}
	return bytes.Clone(c.block.Bytes())
}

// open sends a header block in frames of at most 16,384 bytes and reports success.
func (c *http2Client) open(block []byte, endStream bool) bool {
	c.stream = max(c.stream+2, 1) | 1
	first := block[:min(len(block), 16384)]
	rest := block[len(first):]
	err := c.WriteHeaders(http2.HeadersFrameParam{StreamID: c.stream, BlockFragment: first, EndStream: endStream, EndHeaders: len(rest) == 0})
	for err == nil && len(rest) > 0 {
		part := rest[:min(len(rest), 16384)]
		rest = rest[len(part):]
		err = c.WriteContinuation(c.stream, len(rest) == 0, part)
	}
	return err == nil
}

// smallFields returns n fields of different names. Each counts as about 36 bytes of the header list.
func smallFields(n int) []hpack.HeaderField {
	fields := make([]hpack.HeaderField, n)
	for i := range fields {
		fields[i] = hpack.HeaderField{Name: fmt.Sprintf("%x", i), Sensitive: true}
	}
	return fields
}

// Guards against clients whose HTTP/2 frames exhaust the memory or descriptors of an instance.
func TestHTTP2(t *testing.T) {
	for _, c := range []struct {
		name string
		form form
	}{
		{"CONTINUATION without end", http2Form(true, func(c *http2Client) {
			err := c.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.request("GET", "/")})
			for part := c.request("GET", "/", smallFields(1000)...)[20:]; err == nil; {
				err = c.WriteContinuation(1, false, part)
			}
		})},
		{"empty CONTINUATION without end", http2Form(true, func(c *http2Client) {
			for err := c.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.request("GET", "/")}); err == nil; {
				err = c.WriteContinuation(1, false, nil)
			}
		})},
		{"small fields", http2Form(true, func(c *http2Client) {
			for c.stream < 10000 && c.open(c.request("GET", "/", smallFields(1500)...), true) {
			}
		})},
		{"streams with small fields left", http2Form(true, func(c *http2Client) {
			for range maxOpenStreams {
				if !c.open(c.request("POST", "/upload", smallFields(1500)...), false) {
					return
				}
			}
		})},
		{"streams left", http2Form(true, func(c *http2Client) {
			for range 250 {
				if !c.open(c.request("POST", "/upload"), false) {
					return
				}
			}
		})},
		{"unfinished bodies", http2Form(true, func(c *http2Client) {
			for range maxOpenStreams {
				if !c.open(c.request("POST", "/upload", hpack.HeaderField{Name: "content-length", Value: "60000"}), false) ||
					c.WriteData(c.stream, false, make([]byte, 16000)) != nil {
					return
				}
			}
		})},
		{"rapid resets", http2Form(true, func(c *http2Client) {
			for c.open(c.request("GET", "/"), true) && c.WriteRSTStream(c.stream, http2.ErrCodeCancel) == nil {
			}
		})},
		{"SETTINGS flood", http2Form(false, func(c *http2Client) {
			for c.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1}) == nil {
			}
		})},
		{"PING flood", http2Form(false, func(c *http2Client) {
			for c.WritePing(false, [8]byte{}) == nil {
			}
		})},
		{"zero windows", http2Form(true, func(c *http2Client) {
			for range maxOpenStreams {
				if !c.open(c.request("GET", "/bytes?size=67108864"), true) {
					return
				}
			}
		}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})},
		{"slow readers of long answers", http2Form(false, func(c *http2Client) {
			for c.open(c.request("GET", "/bytes?size=67108864"), true) {
			}
		}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 30})},
		{"large frames left", http2Form(true, func(c *http2Client) {
			_ = c.WriteRawFrame(http2.FrameData, 0, 1, make([]byte, 1<<20))
		})},
	} {
		t.Run(c.name, func(t *testing.T) { attack(t, crowd, c.form) })
	}
}
