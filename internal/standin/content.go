package standin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Pattern fills p with the contents that every download has from offset on. Each
// 8-byte word is a hash of its position, so that misplaced bytes are detected.
func Pattern(p []byte, offset int64) {
	var word [8]byte
	for i := 0; i < len(p); {
		at := uint64(offset) + uint64(i)
		mix := (at >> 3) * 0x9e3779b97f4a7c15
		binary.LittleEndian.PutUint64(word[:], mix^mix>>29)
		i += copy(p[i:], word[at&7:])
	}
}

// CheckPattern returns the position in the download of the first byte of p that differs from Pattern, or -1.
func CheckPattern(p []byte, offset int64) int64 {
	var want [4096]byte
	for done := 0; done < len(p); {
		n := min(len(p)-done, len(want))
		Pattern(want[:n], offset+int64(done))
		for i := range n {
			if p[done+i] != want[i] {
				return offset + int64(done+i)
			}
		}
		done += n
	}
	return -1
}

// patternReader reads a download, optionally at a limited rate, and injects the faults CutAfter and StallAfter.
type patternReader struct {
	ctx   context.Context
	size  int64
	at    int64
	rate  int64
	sent  int64
	cut   int64
	stall int64
}

var errCut = errors.New("download cut off by the injected fault cut_after")

// Read implements io.Reader.
func (p *patternReader) Read(b []byte) (int, error) {
	if p.at >= p.size {
		return 0, io.EOF
	}
	n := min(int64(len(b)), p.size-p.at)
	if p.rate > 0 {
		n = min(n, max(p.rate/50, 1))
		if !pause.For(p.ctx, time.Duration(n)*time.Second/time.Duration(p.rate)) {
			return 0, p.ctx.Err()
		}
	}
	if p.cut > 0 && p.sent >= p.cut {
		return 0, errCut
	}
	if p.stall > 0 && p.sent >= p.stall {
		<-p.ctx.Done()
		return 0, p.ctx.Err()
	}
	for _, limit := range []int64{p.cut, p.stall} {
		if limit > 0 {
			n = min(n, limit-p.sent)
		}
	}
	Pattern(b[:n], p.at)
	p.at += n
	p.sent += n
	return int(n), nil
}

// Seek implements io.Seeker.
func (p *patternReader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += p.at
	case io.SeekEnd:
		offset += p.size
	}
	p.at = offset
	return offset, nil
}

// bytes serves /bytes?size=N&rate=BYTES_PER_SECOND. It supports range requests and sends a strong ETag.
func (u *Upstream) bytes(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "size is not a number of bytes", http.StatusBadRequest)
		return
	}
	rate, _ := strconv.ParseInt(r.URL.Query().Get("rate"), 10, 64)
	f := u.currentFaults()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Etag", fmt.Sprintf(`"pattern-%d"`, size))
	reader := &patternReader{ctx: r.Context(), size: size, rate: rate, cut: f.CutAfter, stall: f.StallAfter}
	var out http.ResponseWriter = w
	if rate > 0 || f.StallAfter > 0 {
		out = &flushWriter{w, http.NewResponseController(w)}
	}
	http.ServeContent(out, r, "", time.Time{}, reader)
	if r.Method != http.MethodHead && reader.cut > 0 && reader.sent >= reader.cut && reader.at < size {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// flushWriter flushes after every write, so that a slow download is not buffered.
type flushWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write implements io.Writer.
func (f *flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = f.control.Flush()
	}
	return n, err
}

// upload serves /upload: it returns the SHA-256 digest and the size of the request body.
func (u *Upstream) upload(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"upstream": u.cfg.ID, "bytes": n, "sha256": hex.EncodeToString(hash.Sum(nil))})
}

// echo serves /echo: it streams the request body back in full duplex and returns the request's trailers.
func (u *Upstream) echo(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	for name := range r.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buf)
		_, _ = w.Write(buf[:n])
		_ = control.Flush()
		if err == io.EOF {
			break
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	for name, values := range r.Trailer {
		w.Header()[name] = values
	}
}

// serveOther serves every other path: it returns a JSON description of the request.
func (u *Upstream) serveOther(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]string{
		"upstream": u.cfg.ID, "method": r.Method, "path": r.URL.Path, "request": r.Header.Get("X-Request-Id"),
		"depth": r.Header.Get("Turmericsail-Depth"), "deadline": r.Header.Get("Turmericsail-Deadline"),
	})
}
