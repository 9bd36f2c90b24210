package passhatch.lab.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.lab.drain.DrainChecker.NotificationRule;
import passhatch.lab.drain.DrainRecord.AddressChange;
import passhatch.lab.drain.DrainRecord.Call;
import passhatch.lab.drain.DrainRecord.Change;
import passhatch.lab.drain.DrainRecord.Outage;
import passhatch.lab.drain.DrainRecord.Rules;
import passhatch.lab.drain.DrainRecord.Send;
import passhatch.lab.drain.DrainRecord.WrittenVersion;

/**
 * Guards each rule of the checker: a request sent just before the bound passes, one at the bound is
 * reported.
 */
final class DrainCheckerTest {

    private static final long SECOND_US = 1_000_000;
    private static final long GRACE_US = 750_000;
    private static final long ASK_INTERVAL_US = 10 * SECOND_US;
    private static final String PROXY = "n0";
    private static final String SERVER = "s";
    private static final long NEVER = DrainRecord.NEVER;

    /** A record in which the server drains at 10 s, as version 2. */
    private static DrainRecord recordWithDrain(boolean pushed, long askEveryUs) {
        DrainRecord record = new DrainRecord(new Rules(pushed, GRACE_US, askEveryUs));
        record.add(new Change(0, 1, SERVER, true));
        record.add(new Change(10 * SECOND_US, 2, SERVER, false));
        return record;
    }

    private static DrainRecord recordOnRequest() {
        return recordWithDrain(false, ASK_INTERVAL_US);
    }

    private static void assertBound(DrainRecord record, long notifiedUs, NotificationRule rule) {
        record.add(new Send(notifiedUs + GRACE_US - 1, PROXY, SERVER));
        assertEquals(List.of(), DrainChecker.check(record));
        record.add(new Send(notifiedUs + GRACE_US, PROXY, SERVER));
        List<DrainChecker.LateSend> late = DrainChecker.check(record);
        assertEquals(1, late.size());
        assertEquals(notifiedUs, late.get(0).notifiedUs());
        assertEquals(rule, late.get(0).rule());
    }

    @Test
    void aChangeIsDeemedNotifiedSixSecondsLaterWhateverFailed() {
        assertBound(recordOnRequest(), 16 * SECOND_US, NotificationRule.REACHABLE);
    }

    @Test
    void aChangeDuringAnOutageIsDeemedNotifiedSixSecondsAfterItsEnd() {
        DrainRecord record = recordOnRequest();
        record.add(new Outage(9 * SECOND_US, 13 * SECOND_US));
        assertBound(record, 19 * SECOND_US, NotificationRule.REACHABLE);
    }

    @Test
    void anOutageThatBeginsAfterTheChangeDelaysNothing() {
        DrainRecord record = recordOnRequest();
        record.add(new Outage(10 * SECOND_US + 1, 30 * SECOND_US));
        assertBound(record, 16 * SECOND_US, NotificationRule.REACHABLE);
    }

    @Test
    void aWrittenChangeIsDeemedNotifiedAtOnceReadOrNot() {
        DrainRecord record = recordOnRequest();
        record.add(new WrittenVersion(11 * SECOND_US, PROXY, 1));
        record.add(new WrittenVersion(12 * SECOND_US, "n1", 2));
        record.add(new WrittenVersion(13 * SECOND_US, PROXY, 3));
        assertBound(record, 13 * SECOND_US, NotificationRule.WRITTEN);
    }

    @Test
    void aChangeMissedByASilentWatchIsDeemedNotifiedSixSecondsAfterItFellSilent() {
        DrainRecord record = recordOnRequest();
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, 7 * SECOND_US, 30 * SECOND_US, false));
        assertBound(record, 13 * SECOND_US, NotificationRule.SILENT_WATCH);
    }

    @Test
    void aWatchThatWasClosedBeforeTheChangeMissesNothing() {
        DrainRecord record = recordOnRequest();
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, 7 * SECOND_US, 10 * SECOND_US, false));
        record.add(new Call(PROXY, 10 * SECOND_US, 10 * SECOND_US + 1, NEVER, NEVER, false));
        assertBound(record, 16 * SECOND_US, NotificationRule.REACHABLE);
    }

    /** The watch was reopened; that its old connection stays open has no effect. */
    @Test
    void aSilentWatchMissesNothingAfterALaterCallGotAResponse() {
        DrainRecord record = recordOnRequest();
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, 7 * SECOND_US, 30 * SECOND_US, false));
        record.add(new Call(PROXY, 9 * SECOND_US, 10 * SECOND_US - 1, NEVER, NEVER, false));
        assertBound(record, 16 * SECOND_US, NotificationRule.REACHABLE);
    }

    @Test
    void aSilentWatchMissesChangesBeforeALaterCallGetsAResponse() {
        DrainRecord record = recordOnRequest();
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, 7 * SECOND_US, 30 * SECOND_US, false));
        record.add(new Call(PROXY, 9 * SECOND_US, 10 * SECOND_US + 1, NEVER, NEVER, false));
        assertBound(record, 13 * SECOND_US, NotificationRule.SILENT_WATCH);
    }

    @Test
    void withoutAWatchAChangeIsDeemedNotifiedAfterTheAskInterval() {
        DrainRecord record = recordWithDrain(false, 2 * SECOND_US);
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, NEVER, 5 * SECOND_US, false));
        assertBound(record, 12 * SECOND_US, NotificationRule.ASKING_TIME);
    }

    /** A call is recorded when it ends, which may be after the next one was started. */
    @Test
    void theLastCallIsTheOneThatWasStartedLast() {
        DrainRecord record = recordWithDrain(false, 2 * SECOND_US);
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, NEVER, 5 * SECOND_US, false));
        record.add(new Call(PROXY, 11 * SECOND_US, NEVER, NEVER, NEVER, false));
        record.add(new Call(PROXY, 5 * SECOND_US, 6 * SECOND_US, NEVER, 13 * SECOND_US, false));
        assertBound(record, 13 * SECOND_US, NotificationRule.ASKING_TIME);
    }

    @Test
    void afterAFailedCallAChangeIsDeemedNotifiedAfterFourAskIntervals() {
        DrainRecord record = recordWithDrain(false, SECOND_US);
        record.add(new Call(PROXY, 9 * SECOND_US, NEVER, NEVER, 9 * SECOND_US + 1, true));
        assertBound(record, 14 * SECOND_US, NotificationRule.ASKING_TIME);
    }

    @Test
    void theAskIntervalDoesNotApplyToAnOpenWatch() {
        DrainRecord record = recordWithDrain(false, 2 * SECOND_US);
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, NEVER, NEVER, false));
        assertBound(record, 16 * SECOND_US, NotificationRule.REACHABLE);
    }

    @Test
    void allThatDiscoveryHasIsDeemedNotifiedFourSecondsAfterTheFirstAddressChange() {
        DrainRecord record = recordOnRequest();
        record.add(new AddressChange(10 * SECOND_US, PROXY));
        record.add(new AddressChange(11 * SECOND_US, PROXY));
        assertBound(record, 14 * SECOND_US, NotificationRule.MOVED);
    }

    /** As the operators' replay of incident-317461 shows, to 10 ms in two runs. */
    @Test
    void aChangeSoonAfterAnAddressChangeIsDeemedNotifiedFourSecondsLater() {
        DrainRecord record = recordOnRequest();
        record.add(new AddressChange(9 * SECOND_US, PROXY));
        assertBound(record, 14 * SECOND_US, NotificationRule.MOVED);
    }

    @Test
    void anAddressChangeMoreThanFourSecondsBeforeTheChangeHasNoEffect() {
        DrainRecord record = recordOnRequest();
        record.add(new AddressChange(10 * SECOND_US - 4 * SECOND_US - 1, PROXY));
        assertBound(record, 16 * SECOND_US, NotificationRule.REACHABLE);
    }

    @Test
    void aPushedChangeIsDeemedNotifiedAtOnceOrAtTheEndOfTheOutage() {
        assertBound(recordWithDrain(true, 0), 10 * SECOND_US, NotificationRule.PUSHED);
        DrainRecord record = recordWithDrain(true, 0);
        record.add(new Outage(9 * SECOND_US, 14 * SECOND_US));
        assertBound(record, 14 * SECOND_US, NotificationRule.PUSHED);
    }

    @Test
    void aPushedChangeMissedByASilentWatchIsDeemedNotifiedThreeSecondsAfterItFellSilent() {
        DrainRecord record = recordWithDrain(true, 0);
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, 9 * SECOND_US, 30 * SECOND_US, false));
        assertBound(record, 12 * SECOND_US, NotificationRule.PUSHED);
    }

    @Test
    void aPushedChangeMissedByASilentWatchIsDeemedNotifiedWhenTheWatchIsEnded() {
        DrainRecord record = recordWithDrain(true, 0);
        record.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, 9 * SECOND_US, 11 * SECOND_US, false));
        assertBound(record, 11 * SECOND_US, NotificationRule.PUSHED);
    }

    /** A call that never got a response confirms nothing, and a later response ends the silence. */
    @Test
    void aPushedChangeIsDeemedNotifiedAtOnceWithoutASilentWatch() {
        DrainRecord unanswered = recordWithDrain(true, 0);
        unanswered.add(new Call(PROXY, SECOND_US, NEVER, 9 * SECOND_US, 30 * SECOND_US, false));
        assertBound(unanswered, 10 * SECOND_US, NotificationRule.PUSHED);
        DrainRecord resumed = recordWithDrain(true, 0);
        resumed.add(new Call(PROXY, SECOND_US, 2 * SECOND_US, 9 * SECOND_US, NEVER, false));
        resumed.add(new Call(PROXY, 9 * SECOND_US, 10 * SECOND_US - 1, NEVER, NEVER, false));
        assertBound(resumed, 10 * SECOND_US, NotificationRule.PUSHED);
    }

    @Test
    void aServerThatIsListedAgainMayBeUsed() {
        DrainRecord record = recordOnRequest();
        record.add(new Change(20 * SECOND_US, 3, SERVER, true));
        record.add(new Send(30 * SECOND_US, PROXY, SERVER));
        assertTrue(DrainChecker.check(record).isEmpty());
    }

    /** A server that drains and is then removed has been out of use since it began to drain. */
    @Test
    void aRemovalAfterADrainDelaysNothing() {
        DrainRecord record = recordOnRequest();
        record.add(new Change(14 * SECOND_US, 3, SERVER, false));
        assertBound(record, 16 * SECOND_US, NotificationRule.REACHABLE);
    }
}
