package instancelist

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a list that shows changes without lag. Such a list would hide
// errors in code that relies on an up-to-date list.
func TestChangesAppearAfterLag(t *testing.T) {
	l, srv, err := Start(t.Context(), "127.0.0.1:0", 150*time.Millisecond, []Entry{{Instance: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := http.Post(srv.URL()+"/instances", "application/json", strings.NewReader(`{"instance":"b","data_centre":"dc"}`)); err != nil {
		t.Fatal(err)
	}
	l.MarkLeaving("a")
	if v := l.Visible(); len(v) != 1 || v[0].Leaving {
		t.Errorf("changes are visible before the lag has passed: %+v", v)
	}
	time.Sleep(200 * time.Millisecond)
	if v := l.Visible(); len(v) != 2 || !v[0].Leaving || v[1].DataCentre != "dc" {
		t.Errorf("changes are not visible after the lag has passed: %+v", v)
	}
}
