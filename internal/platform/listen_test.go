package platform

import (
	"context"
	"net"
	"testing"
)

// A second process of the same user, such as a new version, can listen on the addresses of the
// first. The test opens both sockets in one process.
func TestListenTwiceOnOneAddress(t *testing.T) {
	ctx := context.Background()
	first, err := Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := Listen(ctx, first.Addr().String())
	if err != nil {
		t.Fatalf("second listener on %s: %v", first.Addr(), err)
	}
	defer second.Close()
	firstPacket, err := ListenPacket(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = firstPacket.Close() }()
	secondPacket, err := ListenPacket(ctx, firstPacket.LocalAddr().String())
	if err != nil {
		t.Fatalf("second datagram socket on %s: %v", firstPacket.LocalAddr(), err)
	}
	defer func() { _ = secondPacket.Close() }()
	// A socket without the option cannot be bound to the port.
	if plain, err := net.Listen("tcp", first.Addr().String()); err == nil {
		plain.Close()
		t.Fatalf("a socket without SO_REUSEPORT took %s", first.Addr())
	}
}
