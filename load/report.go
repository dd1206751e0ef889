package load

// Report is the result of a load run. Its first fields are the interface of section 10 of the design page.
type Report struct {
	Policy                     string             `json:"policy"`
	Seed                       uint64             `json:"seed"`
	JobsSubmitted              int                `json:"jobs_submitted"`
	JobsComplete               int                `json:"jobs_complete"`
	JobsFailed                 int                `json:"jobs_failed"`
	JobsRefused                int                `json:"jobs_refused"`
	TasksStarted               int                `json:"tasks_started"`
	TasksStartedTwice          int                `json:"tasks_started_twice"`
	AnswersWrong               int                `json:"answers_wrong"`
	AnswersMissing             int                `json:"answers_missing"`
	RefusalsFalse              int                `json:"refusals_false"`
	ResponseRatioP50           float64            `json:"response_ratio_p50"`
	ResponseRatioP99           float64            `json:"response_ratio_p99"`
	MessagesPerTask            float64            `json:"messages_per_task"`
	WastedMessagesPerTask      float64            `json:"wasted_messages_per_task"`
	PeakServedRatio            float64            `json:"crest_served_ratio"`
	ShortWaitP99MS             float64            `json:"short_wait_p99_ms"`
	ShortWaitBehindLongP99MS   float64            `json:"short_wait_behind_long_p99_ms"`
	Workload                   string             `json:"workload"`
	PeakSlotsBusyShare         float64            `json:"crest_slots_busy_share"`
	PeakTasksServed            int                `json:"crest_tasks_served"`
	PeakTasksDemanded          int                `json:"crest_tasks_demanded"`
	PeakTasksCapacity          float64            `json:"crest_tasks_capacity"`
	ResponseRatioFastestP50    float64            `json:"response_ratio_fastest_p50"`
	ResponseRatioFastestP99    float64            `json:"response_ratio_fastest_p99"`
	RefusedShare               float64            `json:"refused_share"`
	LateShare                  float64            `json:"late_share"`
	ShortWaitP50MS             float64            `json:"short_wait_p50_ms"`
	BackgroundMessagesPerS     float64            `json:"background_messages_per_s"`
	StartsRejected             int                `json:"starts_rejected"`
	Fences                     int                `json:"fences"`
	GrantsUnused               int64              `json:"grants_unused"`
	PeerMessages               int64              `json:"peer_messages"`
	CallerRoundTripMS          float64            `json:"caller_round_trip_ms"`
	GeneratorLateP99MS         float64            `json:"generator_late_p99_ms"`
	CPUSeconds                 float64            `json:"cpu_seconds"`
	CPUCores                   float64            `json:"cpu_cores"`
	RunSeconds                 float64            `json:"run_seconds"`
	ResponseRatioP99ByCustomer map[string]float64 `json:"response_ratio_p99_by_customer"`
	ResponseRatioP50ByCustomer map[string]float64 `json:"response_ratio_p50_by_customer"`
	RejectedByReason           map[string]int     `json:"starts_rejected_by_reason"`
}

// Clean reports whether no invariant was violated.
func (r Report) Clean() bool {
	return r.TasksStartedTwice == 0 && r.AnswersWrong == 0 && r.AnswersMissing == 0 && r.RefusalsFalse == 0
}
