package customer

// QuotaNeed is a holder's share of a team's quota and the demand of the team's work there.
type QuotaNeed struct {
	Held   int
	Demand int
}

// TransferAmount returns how much of its share a holder transfers to another one that requests quota. A holder with
// spare quota gives half of it. If both lack quota, the shares move half way towards the ratio of the demands, so that
// they converge without oscillating.
func TransferAmount(mine, theirs QuotaNeed) int {
	need := theirs.Demand - theirs.Held
	if need <= 0 || mine.Held <= 0 {
		return 0
	}
	if spare := mine.Held - mine.Demand; spare > 0 {
		return min(need, (spare+1)/2)
	}
	fair := (mine.Held + theirs.Held) * theirs.Demand / (mine.Demand + theirs.Demand)
	return max(0, min(need, (fair-theirs.Held)/2))
}
