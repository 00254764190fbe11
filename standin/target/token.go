package target

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// token is what the target issues with each answer to a grant or renewal.
type token struct {
	incarnation types.Incarnation
	epoch       types.Epoch
	issued      time.Duration // since grants.base
}

func (g *grants) issue(now time.Time, incarnation types.Incarnation) string {
	return fmt.Sprintf("%d.%d.%d", incarnation, g.highest, int64(now.Sub(g.base)))
}

// parseToken reads a token, or returns false when the target can't have issued it.
func parseToken(s string) (token, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return token{}, false
	}
	incarnation, err1 := strconv.ParseUint(parts[0], 10, 64)
	epoch, err2 := strconv.ParseUint(parts[1], 10, 64)
	issued, err3 := strconv.ParseInt(parts[2], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || issued < 0 {
		return token{}, false
	}
	return token{
		incarnation: types.Incarnation(incarnation),
		epoch:       types.Epoch(epoch),
		issued:      time.Duration(issued),
	}, true
}
