package cluster

// logStream is what the log service reports about one stream.
type logStream struct {
	// Next is the offset of the next record.
	Next int64 `json:"next"`
	// Appended is the number of records appended since the log service started.
	Appended int64 `json:"appended"`
}

// logStreams returns the streams of the log service by name.
func (c *Cluster) logStreams() (map[string]logStream, error) {
	response, err := getJSON[struct {
		Streams map[string]logStream `json:"streams"`
	}](c.LogService.controlAddress + "/streams")
	return response.Streams, err
}

// NextOffset returns the offset of the next record of a stream of the log service.
func (c *Cluster) NextOffset(stream string) (int64, error) {
	streams, err := c.logStreams()
	return streams[stream].Next, err
}

// Appended returns the number of records appended to all streams since the log service started.
func (c *Cluster) Appended() (int64, error) {
	streams, err := c.logStreams()
	sum := int64(0)
	for _, s := range streams {
		sum += s.Appended
	}
	return sum, err
}
