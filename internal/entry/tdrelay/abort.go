package tdrelay

import (
	"net"
	"net/http"
	"time"
)

// ResetOnPanic must be deferred by a handler. If the handler panics, it resets the
// connection of a caller before HTTP/1.1, for whom the end of the connection is the
// regular end of the response, and panics again.
func ResetOnPanic(w http.ResponseWriter, r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(p)
}

func reset(w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now()) // Hijack writes what is buffered.
	conn, _, err := rc.Hijack()
	if err != nil {
		return
	}
	inner := conn
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		inner = t.NetConn()
	}
	if t, ok := inner.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = inner.Close()
}
