package ctlcommander

import (
	"context"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

// evacuation is an order to send nothing to the targets of a data centre, as a daemon obeys
// it. Running is the number of its requests that are still in flight there.
type evacuation struct {
	DataCentre string    `json:"datacentre"`
	Revision   int64     `json:"revision"`
	Since      time.Time `json:"since"`
	Targets    int       `json:"targets"`
	Running    int       `json:"running"`
}

// evacuationList is the result of evacuation list.
type evacuationList []evacuation

func (l evacuationList) writeTable(w *tableWriter) {
	w.addRow("DATACENTRE\tREVISION\tSINCE\tTARGETS\tRUNNING")
	for _, e := range l {
		w.addRow("%s\t%d\t%s\t%d\t%d", e.DataCentre, e.Revision, e.Since.Format(time.RFC3339), e.Targets, e.Running)
	}
}

func (t *tool) evacuationCommand() *cobra.Command {
	list := t.adminCommand("list", "List the data centres that get nothing from a daemon of the platform, by order of the operators",
		"  plantainctl evacuation list --entry 10.0.0.1:8082",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			out := evacuationList{}
			if err := t.callDaemon(ctx, http.MethodGet, "/evacuations", &out); err != nil {
				return err
			}
			return t.print(c, out)
		})
	return newGroup("evacuation", "List evacuations of data centres", list)
}
