//! The kinds of requests in the model of a site, and what became of them.

/// A kind of requests.
pub struct Kind {
    pub cost: u64,
    pub on_time_ms: u64,
    pub leave_ms: u64,
}

/// Chat, letters and disputes, by rank.
pub const KINDS: [Kind; 3] = [
    Kind {
        cost: 830,
        on_time_ms: 100,
        leave_ms: 667,
    },
    Kind {
        cost: 9_200,
        on_time_ms: 500,
        leave_ms: 1_067,
    },
    Kind {
        cost: 9_200,
        on_time_ms: 5_700,
        leave_ms: 8_000,
    },
];

/// What became of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Tally {
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }

    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }

    pub fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}
