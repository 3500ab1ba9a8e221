package caller

import (
	"net/url"
	"strings"
)

// routePath returns the path by which a request is matched to a route. It is decoded,
// except for encoded slashes: the upstream gets the path as it was sent, in which an
// encoded slash is part of a segment (RFC 3986, section 2.2). "%252F" is not decoded
// either, since it would look like one.
func routePath(u *url.URL) string {
	p := u.EscapedPath()
	if !containsEncodedSlash(p) {
		return u.Path
	}
	var b strings.Builder
	for p != "" {
		i := strings.IndexByte(p, '%')
		if i < 0 || i+2 >= len(p) {
			b.WriteString(p)
			break
		}
		b.WriteString(p[:i])
		c := p[i : i+3]
		if d, err := url.PathUnescape(c); err == nil && !containsEncodedSlash(p[i:min(len(p), i+5)]) {
			c = d
		}
		b.WriteString(c)
		p = p[i+3:]
	}
	return b.String()
}

// containsEncodedSlash reports whether p contains "%2F" or "%252F", in either case.
func containsEncodedSlash(p string) bool {
	for i := strings.Index(p, "%2"); i >= 0; {
		r := strings.TrimPrefix(p[i+2:], "52")
		if strings.HasPrefix(r, "F") || strings.HasPrefix(r, "f") {
			return true
		}
		p = p[i+2:]
		i = strings.Index(p, "%2")
	}
	return false
}
