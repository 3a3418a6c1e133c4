//! The fold's part of idempotency: the first claim of an operation wins.

use crate::idempotency::message::{ClaimEnd, ClaimOutcome, ClaimRequest, OperationKey};
use crate::prelude::*;

/// Most claims remembered.
pub const MAX_CLAIMS: usize = 200_000;

/// A claim that won.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The offset of its record.
    pub offset: Offset,
    /// Who runs the operation.
    pub claimant: Incarnation,
    /// SHA-256 of the request.
    pub request_sha256: Name,
    /// When it is forgotten, by the log's clock.
    pub expires_ms: Millis,
    /// How it ended, once it has.
    pub outcome: Option<ClaimOutcome>,
}

/// The claims, in the order of their records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    #[serde(with = "claim_list")]
    claims: IndexMap<OperationKey, Claim>,
}

impl Claims {
    /// Returns the claim of an operation.
    pub fn get(&self, operation: &OperationKey) -> Option<&Claim> {
        self.claims.get(operation)
    }

    /// Takes a batch of claims. Each one wins unless its operation is claimed already; who won is
    /// seen by [`Claims::get`].
    ///
    /// # Errors
    ///
    /// Rejects the whole batch when too many claims are remembered.
    pub fn claim(
        &mut self,
        offset: Offset,
        now: Millis,
        claimant: Incarnation,
        requests: &[ClaimRequest],
    ) -> Result<(), Rejection> {
        self.forget_expired(now);
        if self.claims.len() + requests.len() > MAX_CLAIMS {
            return Err(Rejection::Full);
        }
        for request in requests {
            let claim = || Claim {
                offset,
                claimant,
                request_sha256: request.request_sha256.clone(),
                expires_ms: now + request.keep_ms,
                outcome: None,
            };
            self.claims
                .entry(request.operation.clone())
                .or_insert_with(claim);
        }
        Ok(())
    }

    /// Takes the ends of claims of one claimant. A claim that did not run is released.
    ///
    /// # Errors
    ///
    /// Rejects nothing: ends of claims that are not the claimant's are passed over.
    pub fn end(&mut self, claimant: Incarnation, ends: &[ClaimEnd]) -> Result<(), Rejection> {
        for end in ends {
            let Some(claim) = self.claims.get_mut(&end.operation) else {
                continue;
            };
            if claim.claimant != claimant || claim.outcome.is_some() {
                continue;
            }
            if end.outcome == ClaimOutcome::NotRun {
                self.claims.shift_remove(&end.operation);
            } else {
                claim.outcome = Some(end.outcome);
            }
        }
        Ok(())
    }

    fn forget_expired(&mut self, now: Millis) {
        self.claims.retain(|_, claim| claim.expires_ms > now);
    }
}

/// Writes the claims as a list, since JSON maps take text keys only.
mod claim_list {
    use super::*;
    use serde::{Deserializer, Serializer};

    #[derive(Serialize, Deserialize)]
    struct Line {
        operation: OperationKey,
        claim: Claim,
    }

    pub fn serialize<S: Serializer>(
        claims: &IndexMap<OperationKey, Claim>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(claims.iter().map(|(operation, claim)| Line {
            operation: operation.clone(),
            claim: claim.clone(),
        }))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<IndexMap<OperationKey, Claim>, D::Error> {
        let lines = Vec::<Line>::deserialize(deserializer)?;
        Ok(lines
            .into_iter()
            .map(|line| (line.operation, line.claim))
            .collect())
    }
}
