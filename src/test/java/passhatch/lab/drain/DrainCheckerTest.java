package passhatch.lab.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.lab.drain.DrainChecker.Sentence;
import passhatch.lab.drain.DrainRecord.Call;
import passhatch.lab.drain.DrainRecord.Change;
import passhatch.lab.drain.DrainRecord.Move;
import passhatch.lab.drain.DrainRecord.Outage;
import passhatch.lab.drain.DrainRecord.Rules;
import passhatch.lab.drain.DrainRecord.Send;
import passhatch.lab.drain.DrainRecord.Written;

/**
 * Each sentence of the pages: a request just inside its bound passes, one at the bound is found.
 */
final class DrainCheckerTest {

    private static final long S = 1_000_000;
    private static final long GRACE = 750_000;
    private static final long ASKING = 10 * S;
    private static final String PROXY = "n0";
    private static final String SERVER = "s";
    private static final long NEVER = DrainRecord.NEVER;

    /** The server drains at 10 s, as version 2. */
    private static DrainRecord drained(boolean pushed, long askEveryUs) {
        DrainRecord record = new DrainRecord(new Rules(pushed, GRACE, askEveryUs));
        record.add(new Change(0, 1, SERVER, true));
        record.add(new Change(10 * S, 2, SERVER, false));
        return record;
    }

    private static DrainRecord asked() {
        return drained(false, ASKING);
    }

    private static void assertBound(DrainRecord record, long toldUs, Sentence sentence) {
        record.add(new Send(toldUs + GRACE - 1, PROXY, SERVER));
        assertEquals(List.of(), DrainChecker.check(record));
        record.add(new Send(toldUs + GRACE, PROXY, SERVER));
        List<DrainChecker.LateSend> late = DrainChecker.check(record);
        assertEquals(1, late.size());
        assertEquals(toldUs, late.get(0).toldUs());
        assertEquals(sentence, late.get(0).sentence());
    }

    @Test
    void whatDiscoveryHadCountsSixSecondsLaterWhateverFailed() {
        assertBound(asked(), 16 * S, Sentence.REACHABLE);
    }

    @Test
    void whatChangedInAnOutageCountsSixSecondsAfterTheReturn() {
        DrainRecord record = asked();
        record.add(new Outage(9 * S, 13 * S));
        assertBound(record, 19 * S, Sentence.REACHABLE);
    }

    @Test
    void anOutageThatBeginsLaterPutsNothingOff() {
        DrainRecord record = asked();
        record.add(new Outage(10 * S + 1, 30 * S));
        assertBound(record, 16 * S, Sentence.REACHABLE);
    }

    @Test
    void whatIsWrittenCountsAtOnceReadOrNot() {
        DrainRecord record = asked();
        record.add(new Written(11 * S, PROXY, 1));
        record.add(new Written(12 * S, "n1", 2));
        record.add(new Written(13 * S, PROXY, 3));
        assertBound(record, 13 * S, Sentence.WRITTEN);
    }

    @Test
    void whatASilentWatchMissesCountsSixSecondsAfterItFellSilent() {
        DrainRecord record = asked();
        record.add(new Call(PROXY, S, 2 * S, 7 * S, 30 * S, false));
        assertBound(record, 13 * S, Sentence.SILENT_WATCH);
    }

    @Test
    void aWatchThatWasGivenUpBeforeTheChangeMissesNothing() {
        DrainRecord record = asked();
        record.add(new Call(PROXY, S, 2 * S, 7 * S, 10 * S, false));
        record.add(new Call(PROXY, 10 * S, 10 * S + 1, NEVER, NEVER, false));
        assertBound(record, 16 * S, Sentence.REACHABLE);
    }

    /** It was opened anew: that its old connection stays open changes nothing. */
    @Test
    void aSilentWatchMissesNothingAfterALaterOneWasAnswered() {
        DrainRecord record = asked();
        record.add(new Call(PROXY, S, 2 * S, 7 * S, 30 * S, false));
        record.add(new Call(PROXY, 9 * S, 10 * S - 1, NEVER, NEVER, false));
        assertBound(record, 16 * S, Sentence.REACHABLE);
    }

    @Test
    void aSilentWatchMissesWhatComesBeforeALaterOneIsAnswered() {
        DrainRecord record = asked();
        record.add(new Call(PROXY, S, 2 * S, 7 * S, 30 * S, false));
        record.add(new Call(PROXY, 9 * S, 10 * S + 1, NEVER, NEVER, false));
        assertBound(record, 13 * S, Sentence.SILENT_WATCH);
    }

    @Test
    void withNoWatchAChangeCountsAfterTheAskingTime() {
        DrainRecord record = drained(false, 2 * S);
        record.add(new Call(PROXY, S, 2 * S, NEVER, 5 * S, false));
        assertBound(record, 12 * S, Sentence.ASKING_TIME);
    }

    /** A call is written down when it ends, which may be after the next was made. */
    @Test
    void theLastCallIsTheOneThatWasMadeLast() {
        DrainRecord record = drained(false, 2 * S);
        record.add(new Call(PROXY, S, 2 * S, NEVER, 5 * S, false));
        record.add(new Call(PROXY, 11 * S, NEVER, NEVER, NEVER, false));
        record.add(new Call(PROXY, 5 * S, 6 * S, NEVER, 13 * S, false));
        assertBound(record, 13 * S, Sentence.ASKING_TIME);
    }

    @Test
    void afterAFailedCallTheAskingTimeCountsFourTimes() {
        DrainRecord record = drained(false, S);
        record.add(new Call(PROXY, 9 * S, NEVER, NEVER, 9 * S + 1, true));
        assertBound(record, 14 * S, Sentence.ASKING_TIME);
    }

    @Test
    void anOpenWatchIsHeldToNoAskingTime() {
        DrainRecord record = drained(false, 2 * S);
        record.add(new Call(PROXY, S, 2 * S, NEVER, NEVER, false));
        assertBound(record, 16 * S, Sentence.REACHABLE);
    }

    @Test
    void afterAMoveAllThatDiscoveryHasCountsFourSecondsAfterTheFirstSignal() {
        DrainRecord record = asked();
        record.add(new Move(10 * S, PROXY));
        record.add(new Move(11 * S, PROXY));
        assertBound(record, 14 * S, Sentence.MOVED);
    }

    /** So the operators' replay has it, to 10 ms in two plays (incident-317461). */
    @Test
    void whatComesSoonAfterAMoveCountsFourSecondsLater() {
        DrainRecord record = asked();
        record.add(new Move(9 * S, PROXY));
        assertBound(record, 14 * S, Sentence.MOVED);
    }

    @Test
    void aMoveWhoseTimeIsOverBeforeTheChangeSaysNothing() {
        DrainRecord record = asked();
        record.add(new Move(10 * S - 4 * S - 1, PROXY));
        assertBound(record, 16 * S, Sentence.REACHABLE);
    }

    @Test
    void whatIsPushedCountsAtOnceAndAtDiscoverysReturn() {
        assertBound(drained(true, 0), 10 * S, Sentence.PUSHED);
        DrainRecord record = drained(true, 0);
        record.add(new Outage(9 * S, 14 * S));
        assertBound(record, 14 * S, Sentence.PUSHED);
    }

    @Test
    void aServerThatIsListedAgainMayBeUsed() {
        DrainRecord record = asked();
        record.add(new Change(20 * S, 3, SERVER, true));
        record.add(new Send(30 * S, PROXY, SERVER));
        assertTrue(DrainChecker.check(record).isEmpty());
    }

    /** A server that drains and is then removed is out of use since it began to drain. */
    @Test
    void aRemovalAfterADrainPutsNothingOff() {
        DrainRecord record = asked();
        record.add(new Change(14 * S, 3, SERVER, false));
        assertBound(record, 16 * S, Sentence.REACHABLE);
    }
}
