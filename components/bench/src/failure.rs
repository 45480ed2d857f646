//! Failures of a bench.

use derive_more::{Display, Error, From};

/// Why a bench could not run.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The cluster failed.
    #[display("{_0}")]
    Testbed(testbed::Failure),
    /// A client failed during preparation.
    #[display("a client failed: {_0}")]
    Client(postgres::Error),
    /// A deployment file is not valid.
    #[display("the deployment is not valid: {_0}")]
    Deployment(
        #[error(not(source))]
        #[from(skip)]
        String,
    ),
    /// A histogram could not be made.
    #[display("a histogram could not be made")]
    Histogram(hdrhistogram::CreationError),
    /// A stand-in failed.
    #[display("{_0}")]
    Standin(standin::Failure),
}
