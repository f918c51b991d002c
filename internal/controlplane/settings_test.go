package controlplane_test

// limitsAndBounds is the part of the settings that all deployments in these tests share. Further
// bounds may follow it.
const limitsAndBounds = `[limits]
memoryMb = 284
maxFds = 4100
[bounds]
contactS = 3
ackS = 5
drainS = 2.5
graceS = 1
configApplyS = 2.5
retryRatio = 0.2
retryWindowS = 10
retrySlack = 60
warmupOvershoot = 1.5
warmupSlack = 5
evacuateS = 5
`
