package preset

import "strings"

// routeIndex finds the route of the longest path prefix. Keys are prefixes without a trailing slash.
type routeIndex struct {
	byPrefix  map[string]prefixRoutes
	maxLength int // bytes of the longest prefix
}

type prefixRoutes struct {
	byMethod map[string]*Route
	other    *Route // route of all methods without an entry of their own; may be nil
}

func newRouteIndex(routes []Route) routeIndex {
	index := routeIndex{byPrefix: make(map[string]prefixRoutes, len(routes))}
	for i := range routes {
		r := &routes[i]
		prefix := strings.TrimSuffix(r.Path, "/")
		entry := index.byPrefix[prefix]
		if len(r.Methods) == 0 {
			entry.other = r
		}
		for _, m := range r.Methods {
			if entry.byMethod == nil {
				entry.byMethod = map[string]*Route{}
			}
			entry.byMethod[m] = r
		}
		index.byPrefix[prefix] = entry
		index.maxLength = max(index.maxLength, len(prefix))
	}
	return index
}

// Route returns the route of a request. The longest path prefix that has the method wins; a route that names the
// method wins over one for all methods on the same prefix. It does not allocate.
func (c *Content) Route(method, path string) (*Route, bool) {
	prefix := path
	// Cutting to the longest known prefix bounds the work for a long path with many segments.
	if len(prefix) > c.index.maxLength {
		if path[c.index.maxLength] == '/' {
			prefix = path[:c.index.maxLength]
		} else {
			prefix = parent(path[:c.index.maxLength])
		}
	}
	for {
		if entry, ok := c.index.byPrefix[prefix]; ok {
			if r, ok := entry.byMethod[method]; ok {
				return r, true
			}
			if entry.other != nil {
				return entry.other, true
			}
		}
		if prefix == "" {
			return nil, false
		}
		prefix = parent(prefix)
	}
}

// parent cuts the last segment and its slash.
func parent(prefix string) string {
	return prefix[:max(strings.LastIndexByte(prefix, '/'), 0)]
}
