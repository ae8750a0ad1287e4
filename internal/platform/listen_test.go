package platform

import (
	"context"
	"net"
	"testing"
)

// A new version opens the same addresses while the old one still holds them.
func TestListenTwiceOnOneAddress(t *testing.T) {
	ctx := context.Background()
	a, err := Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Listen(ctx, a.Addr().String())
	if err != nil {
		t.Fatalf("second listener on %s: %v", a.Addr(), err)
	}
	defer b.Close()
	u, err := ListenPacket(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	v, err := ListenPacket(ctx, u.LocalAddr().String())
	if err != nil {
		t.Fatalf("second datagram socket on %s: %v", u.LocalAddr(), err)
	}
	defer v.Close()
	// Plain sockets still cannot take the port.
	if c, err := net.Listen("tcp", a.Addr().String()); err == nil {
		c.Close()
		t.Fatalf("a socket without SO_REUSEPORT took %s", a.Addr())
	}
}
