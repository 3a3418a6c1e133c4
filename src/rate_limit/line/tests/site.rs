//! Simulated sites.

use super::model::{Model, Rule};

#[test]
fn trial() {
    for hosts in [9, 73, 985] {
        for per_s in [18_000.0, 450_000.0] {
            for rule in [Rule::Admit, Rule::Queue] {
                for times in [0.5, 1.2, 3.0, 8.0] {
                    let mut model = Model::new(hosts, per_s, rule, 1);
                    model.run(4_000, 0.5);
                    model.tallies = Default::default();
                    model.used = 0.0;
                    model.run(8_000, times);
                    let asked_s = 8.0;
                    print!("{hosts:4} {per_s:6} {rule:?} x{times}: window {:.0}, used {:.2} released {:.0} waiting {}", model.most_in_window, model.used / per_s / asked_s, model.most_released, model.waiting());
                    for t in model.tallies {
                        print!(" | {} {:.2}+{:.2} r{:.2} rw{}", t.asked, t.in_time(), t.served() - t.in_time(), 1.0 - t.served(), t.refused_after_wait);
                    }
                    println!();
                    model.check("trial");
                }
            }
        }
    }
}
