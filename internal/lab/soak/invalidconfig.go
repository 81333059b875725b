package soak

import (
	"encoding/json"
	"slices"
	"strconv"
)

// versionsAhead is the distance of the version of an invalid configuration from the newest one, so that a VM that puts it in force ignores
// the next valid configurations.
const versionsAhead = 1000

// invalidRecords lists ways to make the record of an invalid configuration from a valid document with a higher version and other services.
var invalidRecords = []func(version int64, d document) []byte{
	func(version int64, d document) []byte {
		d.Version = strconv.FormatInt(version, 10)
		return encode(d)
	},
	func(version int64, d document) []byte {
		d.Version = "r+" + strconv.FormatInt(version, 10)
		return encode(d)
	},
	func(_ int64, d document) []byte {
		d.Resources = nil
		return encode(d)
	},
	func(_ int64, d document) []byte {
		unknown := route{name: "unknown", prefix: "/unknown/", kind: "safe"}
		d.Resources = append(d.Resources, routeResource(0, unknown, "no-such-service"))
		return encode(d)
	},
	func(_ int64, d document) []byte {
		again := routes[0]
		again.name = "again"
		d.Resources = append(d.Resources, routeResource(0, again, again.allowed[0]))
		return encode(d)
	},
	func(int64, document) []byte { return []byte("no configuration") },
	func(_ int64, d document) []byte {
		record := encode(d)
		return record[:len(record)/2]
	},
}

func encode(d document) []byte {
	record, _ := json.Marshal(d)
	return record
}

// writeInvalid writes an invalid configuration and then the newest valid one again, which VMs that start find as the newest record.
func (o *operator) writeInvalid(draw int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	valid := o.newest
	o.newest.version += versionsAhead
	o.newest.services = slices.Clone(valid.services)
	for i := range routes {
		o.switchRouteLocked(i)
	}
	d := o.documentLocked()
	o.newest = valid
	kind := draw % len(invalidRecords)
	offset := o.store.Put(topicConfig, configKey, invalidRecords[kind](valid.version+versionsAhead, d))
	o.log.Printf("invalid configuration of kind %d at offset %d", kind, offset)
	o.store.Put(topicConfig, configKey, o.record)
}
