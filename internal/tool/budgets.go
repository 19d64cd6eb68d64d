package tool

import "sumachead/api/wire"

// budgetsShow prints the budgets of a declared fleet.
type budgetsShow struct {
	app *app
	fleetOptions
}

// Execute implements flags.Commander.
func (b *budgetsShow) Execute([]string) error {
	s, err := callLeader[wire.WorkspaceBudgets](b.app, &b.fleetOptions, "Fleet.Budgets", &wire.Empty{})
	if err != nil {
		return err
	}
	return b.print(s)
}

func (b *budgetsShow) print(s *wire.WorkspaceBudgets) error {
	if b.app.JSON {
		return b.app.printProto(s)
	}
	if len(s.GetBudgets()) == 0 {
		b.app.printf("no workspace has a budget\n")
		return nil
	}
	b.app.printf("%-24s %14s %14s %14s %14s %14s  %s\n", "workspace", "total", "spent", "in flight", "free", "left", "reserve")
	for _, x := range s.GetBudgets() {
		b.app.printf("%-24s %14d %14d %14d %14d %14d  ", x.GetWorkspace(), x.GetTotal(), x.GetSpent(), x.GetInFlight(), x.GetFree(), x.GetLeft())
		if x.GetReserveActive() {
			b.app.printf("%d for urgent requests since %s\n", x.GetReserveSize(), formatTime(x.GetReserveSinceUnixMillis()))
			continue
		}
		b.app.printf("none\n")
	}
	return nil
}
