package aggregate

import (
	"encoding/base64"
	"encoding/binary"
)

// The wire format of a drain notice, before base64 without padding; numbers are big-endian:
//
//	byte 0   bits 0-1 noticeVersion, bit 2 from the leader, bit 3 watching, bit 4 complete, others 0
//	workers  up to the end, 2 bytes each
//
// It has its own version number, so that dispatchers of older builds drop it as a text of an
// unknown version.
const (
	noticeVersion     = 3
	noticeFromLeader  = 1 << 2
	noticeWatching    = 1 << 3
	noticeComplete    = 1 << 4
	noticeFlags       = noticeFromLeader | noticeWatching | noticeComplete
	noticeHeaderBytes = 1
	tagBytes          = 2
	// maxNoticeTags is the maximum number of workers in one text of a notice.
	maxNoticeTags = (maxTextBytes - noticeHeaderBytes) / tagBytes
)

// DrainNotice tells other dispatchers which workers are draining although the endpoint list has
// them as active. The leader relays the notices that it receives; its own notice may name no
// worker.
type DrainNotice struct {
	FromLeader bool
	Watching   bool     // from the leader: dispatchers watch workers on behalf of each other
	Complete   bool     // to a dispatcher that has started: names all workers currently reported
	Draining   []uint16 // tags of workers that have reported that they are draining or have drained
}

// Encode returns the texts of a notice, none if the notice is empty.
func (n DrainNotice) Encode() (texts []string) {
	for len(n.Draining) > 0 || (n.FromLeader || n.Complete) && len(texts) == 0 {
		count := min(len(n.Draining), maxNoticeTags)
		raw := []byte{n.firstByte()}
		for _, tag := range n.Draining[:count] {
			raw = binary.BigEndian.AppendUint16(raw, tag)
		}
		n.Draining = n.Draining[count:]
		texts = append(texts, base64.RawStdEncoding.EncodeToString(raw))
	}
	return texts
}

// firstByte returns byte 0 of a text. Only the last text of a complete notice has the complete bit.
func (n *DrainNotice) firstByte() byte {
	first := byte(noticeVersion)
	if n.FromLeader {
		first |= noticeFromLeader
	}
	if n.Watching {
		first |= noticeWatching
	}
	if n.Complete && len(n.Draining) <= maxNoticeTags {
		first |= noticeComplete
	}
	return first
}

// DecodeDrainNotice returns the notice of one text. ok is false, and the notice empty, if the text
// is truncated or is not a notice.
func DecodeDrainNotice(text string) (notice DrainNotice, ok bool) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) < noticeHeaderBytes || raw[0]&^noticeFlags != noticeVersion {
		return DrainNotice{}, false
	}
	tags := raw[noticeHeaderBytes:]
	if len(tags)%tagBytes != 0 {
		return DrainNotice{}, false
	}
	notice = DrainNotice{
		FromLeader: raw[0]&noticeFromLeader != 0,
		Watching:   raw[0]&noticeWatching != 0,
		Complete:   raw[0]&noticeComplete != 0,
	}
	for ; len(tags) > 0; tags = tags[tagBytes:] {
		notice.Draining = append(notice.Draining, binary.BigEndian.Uint16(tags))
	}
	return notice, true
}
