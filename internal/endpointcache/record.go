package endpointcache

import (
	"encoding/binary"
	"hash/crc32"
	"time"

	"google.golang.org/protobuf/proto"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache/keptpb"
)

// checksumSize is the length of the checksum before a record, in bytes.
const checksumSize = 4

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns the checksum and the encoding of a record, in this order.
func encodeRecord(record proto.Message) ([]byte, error) {
	raw, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(raw, checksumTable)), raw...), nil
}

// decodeRecord decodes a record and reports whether its checksum and encoding are valid.
func decodeRecord(encoded []byte, record proto.Message) bool {
	if len(encoded) < checksumSize {
		return false
	}
	raw := encoded[checksumSize:]
	return crc32.Checksum(raw, checksumTable) == binary.BigEndian.Uint32(encoded) && proto.Unmarshal(raw, record) == nil
}

// endpointKey returns the key of an endpoint's record.
func endpointKey(id balancer.WorkerID) []byte { return binary.BigEndian.AppendUint32(nil, uint32(id)) }

// encodeEndpoint returns the record of an endpoint.
func encodeEndpoint(endpoint endpoints.Endpoint) *keptpb.Box {
	return &keptpb.Box{
		Id:     uint32(endpoint.ID),
		Addr:   endpoint.Addr,
		Zone:   int32(endpoint.Zone),
		Kind:   int32(endpoint.Kind),
		Cell:   int32(endpoint.Cell),
		State:  int32(endpoint.State),
		Weight: endpoint.Weight,
		Start:  nanosFromTime(endpoint.Start),
		Told:   nanosFromTime(endpoint.UpdatedAt),
		Proved: nanosFromTime(endpoint.VerifiedAt),
		Pace:   endpoint.RequestRate,
	}
}

// decodeEndpoint decodes the record of an endpoint. It returns false if the record is invalid or
// stored under another endpoint's key.
func decodeEndpoint(key, encoded []byte) (endpoints.Endpoint, bool) {
	var record keptpb.Box
	if !decodeRecord(encoded, &record) || record.State < 0 || record.State > int32(balancer.Active) {
		return endpoints.Endpoint{}, false
	}
	if string(key) != string(endpointKey(balancer.WorkerID(record.Id))) {
		return endpoints.Endpoint{}, false
	}
	return endpoints.Endpoint{
		ID:          balancer.WorkerID(record.Id),
		Addr:        record.Addr,
		Zone:        int(record.Zone),
		Kind:        int(record.Kind),
		Cell:        int(record.Cell),
		State:       balancer.EndpointState(record.State),
		Weight:      record.Weight,
		Start:       timeFromNanos(record.Start),
		UpdatedAt:   timeFromNanos(record.Told),
		VerifiedAt:  timeFromNanos(record.Proved),
		RequestRate: record.Pace,
	}, true
}

// eventKey returns the key of an event's record. It holds the whole event, so that writeEvents
// finds stored events by their key and does not write them again. The time comes first: keys are in
// order of time.
func eventKey(event endpoints.Event) []byte {
	key := binary.BigEndian.AppendUint64(nil, uint64(nanosFromTime(event.At)))
	key = binary.BigEndian.AppendUint32(key, uint32(event.Worker))
	return append(key, byte(event.Kind))
}

// encodeEvent returns the record of an event.
func encodeEvent(event endpoints.Event) *keptpb.Event {
	return &keptpb.Event{At: nanosFromTime(event.At), Worker: uint32(event.Worker), What: int32(event.Kind)}
}

// decodeEvent decodes the record of an event. It returns false if the record is invalid.
func decodeEvent(encoded []byte) (endpoints.Event, bool) {
	var record keptpb.Event
	if !decodeRecord(encoded, &record) || record.What < 0 || record.What > int32(endpoints.Drained) {
		return endpoints.Event{}, false
	}
	return endpoints.Event{
		At:     timeFromNanos(record.At),
		Worker: balancer.WorkerID(record.Worker),
		Kind:   endpoints.EventKind(record.What),
	}, true
}

// encodeHead returns the head record for a snapshot.
func encodeHead(owner string, snapshot endpoints.Snapshot) *keptpb.Head {
	return &keptpb.Head{
		Schema:    Schema,
		Owner:     owner,
		Epoch:     snapshot.Epoch,
		Cursor:    snapshot.Cursor,
		Confirmed: nanosFromTime(snapshot.ConfirmedAt),
		Saved:     nanosFromTime(snapshot.SavedAt),
		Watched:   int64(snapshot.History.ObservedTime),
		Leaves:    snapshot.History.Departures,
		Returns:   snapshot.History.Restarts,
	}
}

// decodeHead converts a head record. The result has neither endpoints nor events.
func decodeHead(head *keptpb.Head) Contents {
	return Contents{
		Owner:  head.Owner,
		Schema: int(head.Schema),
		Snapshot: endpoints.Snapshot{
			Epoch:       head.Epoch,
			Cursor:      head.Cursor,
			ConfirmedAt: timeFromNanos(head.Confirmed),
			SavedAt:     timeFromNanos(head.Saved),
			History: endpoints.History{
				ObservedTime: time.Duration(head.Watched),
				Departures:   head.Leaves,
				Restarts:     head.Returns,
			},
		},
	}
}

// nanosFromTime returns a time as Unix nanoseconds, 0 for the zero time.
func nanosFromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// timeFromNanos is the inverse of nanosFromTime.
func timeFromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
